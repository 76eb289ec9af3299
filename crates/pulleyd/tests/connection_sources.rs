//! The local addresses of connections to upstreams.

use std::net::IpAddr;

use pulleyd::connection::can_reach;

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

// A single host with the default address for peers, 127.0.0.1, could connect to no upstream on another
// machine.
#[test]
fn a_loopback_address_is_no_source_for_connections_to_other_machines() {
    assert!(!can_reach(ip("127.0.0.1"), ip("10.0.0.5")));
    assert!(!can_reach(ip("::1"), ip("fd00::5")));
    assert!(!can_reach(ip("10.0.0.1"), ip("fd00::5")));
    assert!(can_reach(ip("127.0.0.2"), ip("127.0.0.1")));
    assert!(can_reach(ip("10.0.0.1"), ip("10.0.0.5")));
}
