//! Kinds, upstreams and requests of one pool, `cover`.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use pulley_core::Moment;
use pulley_core::process::{
    Announcement, Incarnation, ProbeRate, ShareFraction, SlotCount, UpstreamPhase, UpstreamRecord,
    UpstreamSequence,
};
use pulley_core::request::{RequestNumber, RequestTicket};
use pulley_core::version::{KindPlan, MethodMatch, RequestPriority, RouteTerms, WorkLength};

pub(crate) fn row(kind: &str, priority: u8, parts: u16) -> KindPlan {
    KindPlan {
        pool: "cover".parse().expect("name"),
        service: kind.parse().expect("name"),
        kind: kind.parse().expect("name"),
        method: MethodMatch::Any,
        path_prefix: "/".into(),
        priority: RequestPriority(priority),
        share: ShareFraction::from_basis_points(parts).expect("share"),
        reserved_slots: SlotCount(0),
        deadline: Duration::from_secs(1),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(1_000),
        route: RouteTerms::default(),
    }
}

pub(crate) fn upstream(index: u16, slots: u32) -> UpstreamRecord {
    let announcement = Announcement {
        id: format!("u{index}").parse().expect("name"),
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        zone: "a".parse().expect("name"),
        pool: "cover".parse().expect("name"),
        slots: SlotCount(slots),
        connections: 10,
        incarnation: Incarnation(1),
        sequence: UpstreamSequence(1),
        phase: UpstreamPhase::Ready,
    };
    UpstreamRecord { announcement, takes_work: true }
}

pub(crate) fn ticket(number: u64, kind: usize, deadline: Moment) -> RequestTicket {
    RequestTicket {
        number: RequestNumber(number),
        kind,
        deadline,
        target: None,
        attempt: 0,
        avoid: Vec::new(),
    }
}
