//! The load scenarios: offered load and incidents of a run.

use eyre::{Result, bail};

/// The load and the incident that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadScenario {
    Steady50,
    Steady70,
    Steady80,
    Steady95,
    Bursts,
    Skewed,
    OneSlow,
    OneFailingFast,
    MisleadingReport,
    LongShort,
    Saturation150,
    ColdStart,
    Drain,
    CoordinatorLost,
    TwoHostsLost,
    ZoneCut,
    SilentConnections,
    Noisy,
}

impl LoadScenario {
    /// All scenarios with their names.
    pub(crate) const ALL: [(&'static str, Self); 18] = [
        ("steady_50", Self::Steady50),
        ("steady_70", Self::Steady70),
        ("steady_80", Self::Steady80),
        ("steady_95", Self::Steady95),
        ("bursts", Self::Bursts),
        ("skewed", Self::Skewed),
        ("one_slow", Self::OneSlow),
        ("one_failing_fast", Self::OneFailingFast),
        ("misleading_report", Self::MisleadingReport),
        ("long_short", Self::LongShort),
        ("saturation_150", Self::Saturation150),
        ("cold_start", Self::ColdStart),
        ("drain", Self::Drain),
        ("coordinator_lost", Self::CoordinatorLost),
        ("two_hosts_lost", Self::TwoHostsLost),
        ("zone_cut", Self::ZoneCut),
        ("silent_connections", Self::SilentConnections),
        ("noisy", Self::Noisy),
    ];

    /// Returns the scenario with the given name.
    pub(crate) fn from_name(name: &str) -> Result<Self> {
        let found = Self::ALL.iter().find(|(known, _)| *known == name);
        let Some((_, scenario)) = found else { bail!("unknown scenario {name}") };
        Ok(*scenario)
    }

    /// Returns the scenario's name.
    pub(crate) fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(_, known)| *known == self);
        found.map_or("unknown", |(name, _)| name)
    }

    /// Returns the offered load as a fraction of the pools' capacity.
    pub(crate) const fn load(self) -> f64 {
        match self {
            Self::Steady50 => 0.5,
            Self::Steady95 => 0.95,
            Self::Saturation150 => 1.5,
            Self::Steady70
            | Self::Bursts
            | Self::Drain
            | Self::ColdStart
            | Self::OneSlow
            | Self::ZoneCut => 0.7,
            _ => 0.8,
        }
    }

    /// Returns how many calls arrive at once: the burst size, or 1 without bursts.
    pub(crate) const fn burst(self) -> usize {
        match self {
            Self::Bursts | Self::Drain => 12,
            _ => 1,
        }
    }

    /// Whether a fifth of the entries receives four fifths of the calls.
    pub(crate) const fn is_skewed(self) -> bool {
        matches!(self, Self::Skewed)
    }
}
