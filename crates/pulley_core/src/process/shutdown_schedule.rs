//! Decides what a host that shuts down still does for requests.

use std::time::Duration;

use super::Moment;

/// Size up to which any answer must pass in time over the link of a host that still takes requests
/// whose own time ends after the host's.
const LARGE_ANSWER_BYTES: u64 = 4 << 20;

/// Divides the time for requests in flight. An answer that is ready before the resulting last part of it
/// still reaches its caller whole.
const DELIVERY_DIVISOR: u32 = 8;

/// The spans of a shutdown, and the link over which answers leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTerms {
    /// How long the platform's balancer may go on sending callers here.
    pub notice: Duration,
    /// How long requests in flight may take after the notice.
    pub drain: Duration,
    /// The rate of the host's link in kilobits a second; `None` if it is not a limit.
    pub link_kbps: Option<u32>,
}

/// What is known of a request that is to be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOutlook {
    /// When its own time ends; `None` if its answer may stream for longer than that.
    pub ends_by: Option<Moment>,
    /// Whether its caller is still sending the body.
    pub is_upload: bool,
}

/// The times of one shutdown, and what the host promises by them.
///
/// Every request that the host has read is answered whole, refused as not run, or out of its own time
/// before the host ends. A request that has not been passed on to an upstream is therefore passed on
/// only if its own time ends first. All others are refused at once, and other hosts take them.
///
/// The balancer sends callers here for some time after the signal. During that notice a host whose link
/// passes any answer at once also takes requests with more time: refusing them would cost every caller
/// of a restarting host an attempt, and only work that outlasts the whole drain is cut. Over a slow link
/// even short work can end in an answer that does not arrive in time, and an upload ends whenever its
/// caller ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled_at: Moment,
    takes_until: Moment,
    ends_at: Moment,
    has_fast_link: bool,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown whose signal arrived at `signalled_at`.
    #[must_use]
    pub fn new(signalled_at: Moment, terms: ShutdownTerms) -> Self {
        let takes_until = signalled_at + terms.notice;
        let delivery_time = terms.drain / DELIVERY_DIVISOR;
        let has_fast_link = terms
            .link_kbps
            .is_none_or(|kbps| transfer_time(LARGE_ANSWER_BYTES, kbps) <= delivery_time);
        Self { signalled_at, takes_until, ends_at: takes_until + terms.drain, has_fast_link }
    }

    /// Returns when the host closes idle connections and accepts no more.
    #[must_use]
    pub const fn takes_until(&self) -> Moment {
        self.takes_until
    }

    /// Returns when the host cuts what is still in flight.
    #[must_use]
    pub const fn ends_at(&self) -> Moment {
        self.ends_at
    }

    /// Returns until when a request may be passed on to an upstream for the first time, or once more.
    #[must_use]
    pub fn passes_on_until(&self, outlook: RequestOutlook) -> Moment {
        if outlook.ends_by.is_some_and(|end| end <= self.ends_at) {
            self.ends_at
        } else if self.has_fast_link && !outlook.is_upload {
            self.takes_until
        } else {
            self.signalled_at
        }
    }

    /// Whether a request may now be passed on to an upstream.
    #[must_use]
    pub fn may_pass_on(&self, now: Moment, outlook: RequestOutlook) -> bool {
        now < self.passes_on_until(outlook)
    }
}

fn transfer_time(bytes: u64, kbps: u32) -> Duration {
    let bytes_per_second = (u64::from(kbps) * 1_000 / 8).max(1);
    Duration::from_micros(bytes.saturating_mul(1_000_000) / bytes_per_second)
}
