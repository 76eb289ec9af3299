//! Divides a pool's capacity among kinds and entries while more is asked for than it has.

/// What one kind asks for and may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindDemand {
    /// Which service of the pool the kind belongs to.
    pub service: usize,
    /// The service's share of the pool, as a part of the whole.
    pub share: f32,
    /// The kind's rank; the least goes first within its service.
    pub priority: u8,
    /// Requests outstanding and waiting, from all entries.
    pub wanted: f32,
}

/// Divides room for `slots` requests among kinds.
///
/// Each service gets what it asks for up to its share; what some leave is lent to the others by
/// their shares, so no room stays unused while anyone waits. Within a service the kinds that go
/// first are served first. The parts never add up to more than `slots`.
#[must_use]
pub fn divide_slots(slots: f32, demands: &[KindDemand]) -> Vec<f32> {
    let services = demands.iter().map(|kind| kind.service + 1).max().unwrap_or(0);
    let (mut wanted, mut share) = (vec![0.0_f32; services], vec![0.0_f32; services]);
    for kind in demands {
        wanted[kind.service] += kind.wanted;
        share[kind.service] = kind.share;
    }
    let mut left = fill(slots, &wanted, &share);
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|kind| demands[*kind].priority);
    let mut given = vec![0.0; demands.len()];
    for kind in order {
        let demand = &demands[kind];
        given[kind] = demand.wanted.min(left[demand.service]);
        left[demand.service] -= given[kind];
    }
    given
}

/// Fills services up to what they want, in proportion to their shares.
fn fill(slots: f32, wanted: &[f32], share: &[f32]) -> Vec<f32> {
    let mut given = vec![0.0_f32; wanted.len()];
    let mut left = slots.max(0.0);
    // Each turn satisfies a service for good or uses up what is left.
    for _ in 0..=wanted.len() {
        let open: Vec<usize> = (0..wanted.len()).filter(|s| given[*s] < wanted[*s]).collect();
        let weight = |service: usize| share[service].max(LEAST_SHARE);
        let weights: f32 = open.iter().map(|service| weight(*service)).sum();
        if open.is_empty() || left <= 0.0 {
            break;
        }
        let portion = left;
        for service in open {
            let part = portion * weight(service) / weights;
            let more = part.min(wanted[service] - given[service]).min(left);
            given[service] += more;
            left -= more;
        }
    }
    given
}

/// A service without a share still gets what nobody else wants.
const LEAST_SHARE: f32 = 0.001;
