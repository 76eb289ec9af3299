//! Fuzz targets of the parsers: an ordinary test run plays a small corpus and seeded inputs.
//!
//! The README tells how to run one for long, guided by coverage.

#![allow(clippy::unwrap_used, reason = "a test may end there")]

use std::net::SocketAddr;

use bolero::check;
use pulley_core::Moment;
use pulley_core::process::{
    HostRoles, MemberIncarnation, MemberRecord, MemberSettings, MemberTable, PeerRing,
    UpstreamRegistry,
};
use pulley_core::version::{PlanFollower, SheetReader};

/// Inputs in an ordinary run.
const INPUTS: usize = 3_000;

/// The longest input, in bytes; a datagram between hosts is no longer.
const LONGEST: usize = 1_400;

fn sender() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7_000))
}

// An operator's sheet comes from a planner's export; whatever is in it must be read or refused, and what
// is read must make a plan that finds its own rows.
#[test]
fn sheets() {
    check!().with_iterations(INPUTS).with_max_len(LONGEST).for_each(|input: &[u8]| {
        let Ok(plan) = SheetReader::read(input) else { return };
        for kind in &plan.kinds {
            assert!(!kind.deadline.is_zero(), "{kind:?}");
            assert!(kind.path_prefix.starts_with('/'), "{kind:?}");
        }
    });
}

// A datagram with a good seal, of another version or a faulty host, reaches the membership. The host
// must go on: its own record stays, and it answers the next probe.
#[test]
fn membership_datagrams() {
    let own = MemberRecord {
        host: "h1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        incarnation: MemberIncarnation(1),
        peer_address: sender(),
        caller_address: sender(),
        operator_address: sender(),
        roles: HostRoles { entry: true, replica: false },
    };
    check!().with_iterations(INPUTS).with_max_len(LONGEST).for_each(|input: &[u8]| {
        let mut table = MemberTable::new(own.clone(), MemberSettings::default(), 7);
        table.receive(Moment::ZERO, sender(), input);
        assert!(table.live().any(|record| record.host == own.host));
    });
}

// The same for the leases of upstreams: nothing that cannot be read may name an upstream to use.
#[test]
fn registry_datagrams() {
    check!().with_iterations(INPUTS).with_max_len(LONGEST).for_each(|input: &[u8]| {
        let mut registry = UpstreamRegistry::new();
        registry.receive(Moment::ZERO, sender(), input);
        registry.tick(Moment::ZERO, &PeerRing::default());
    });
}

// And for what hosts tell each other about the configuration: bytes that cannot be read put nothing
// in force.
#[test]
fn configuration_datagrams() {
    check!().with_iterations(INPUTS).with_max_len(LONGEST).for_each(|input: &[u8]| {
        let mut follower = PlanFollower::new("h1".parse().unwrap(), 7);
        follower.receive(Moment::ZERO, &"h2".parse().unwrap(), input);
        assert!(follower.in_force().is_none());
    });
}
