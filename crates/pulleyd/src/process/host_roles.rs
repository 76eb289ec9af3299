//! The roles of a host, and their form in settings.

use std::fmt;
use std::str::FromStr;

/// What a host is set up to do. It may have both roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostRoles {
    /// The host serves callers.
    pub entry: bool,
    /// The host holds the replicated log.
    pub replica: bool,
}

impl fmt::Display for HostRoles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match (self.entry, self.replica) {
            (true, true) => "entry,replica",
            (true, false) => "entry",
            (false, true) => "replica",
            (false, false) => "",
        })
    }
}

impl FromStr for HostRoles {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut roles = Self::default();
        for role in text.split(',') {
            match role.trim() {
                "entry" => roles.entry = true,
                "replica" => roles.replica = true,
                _ => return Err("entry, replica or entry,replica"),
            }
        }
        Ok(roles)
    }
}
