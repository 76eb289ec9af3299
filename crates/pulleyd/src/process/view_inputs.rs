//! The inputs from which the control core builds views.

use pulley_core::ConfigVersion;
use pulley_core::version::LogIndex;

/// The inputs of a view. A new view is built when any of them changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ViewInputs {
    pub(super) members: u64,
    pub(super) upstreams: u64,
    pub(super) version: u64,
    pub(super) awaited_version: Option<ConfigVersion>,
    pub(super) zones: LogIndex,
    pub(super) ready: bool,
    pub(super) leaving: bool,
}

impl ViewInputs {
    /// Whether a change between these inputs and `other` may be published later, with further
    /// changes. It may if they differ only in hosts, upstreams or the number of the awaited
    /// version. That a version is now awaited must be published without delay: from then on, a
    /// request that this version may allow gets no final refusal.
    pub(super) fn can_defer(&self, other: &Self) -> bool {
        let without = |inputs: &Self| {
            let awaited_version = inputs.awaited_version.map(|_| ConfigVersion::default());
            Self { members: 0, upstreams: 0, awaited_version, ..*inputs }
        };
        without(self) == without(other)
    }
}
