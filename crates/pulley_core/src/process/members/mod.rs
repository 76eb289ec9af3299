//! Membership: finds out which hosts are alive, by probes and gossip among all hosts.

mod entry_zones;
mod member_message;
mod member_record;
mod member_ring;
mod member_roster;
mod member_settings;
mod member_table;
mod relay_hosts;

pub use entry_zones::EntryZones;
pub use member_message::{MEMBER_BODY_LIMIT, MemberSend};
pub use member_record::{HostRoles, MemberIncarnation, MemberRecord, MemberState};
pub use member_ring::{PeerRing, RingPeer};
pub use member_settings::MemberSettings;
pub use member_table::MemberTable;
pub use relay_hosts::RelayHost;

pub(super) use member_message::encoded;

use super::{FastMap, FastSet, HostId, Moment, QuantityFault, UpstreamId, ZoneName, stable_hash};
