//! Divides a pool's capacity among kinds while the demand exceeds it.

/// What one kind asks of its pool, as input to [`divide_slots`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindDemand {
    /// Index of the kind's service within the pool.
    pub service: usize,
    /// The service's share of the pool, as a part of the whole.
    pub share: f32,
    /// The kind's priority; the lowest value goes first within its service.
    pub priority: u8,
    /// Requests outstanding and waiting, from all entries.
    pub wanted: f32,
}

/// Divides room for `slots` requests among kinds.
///
/// Each service gets its demand up to its share. What some services leave unused is lent to the
/// others in proportion to their shares, so no room stays unused while requests wait. Within a
/// service, kinds are served by priority. The parts never add up to more than `slots`.
#[must_use]
pub fn divide_slots(slots: f32, demands: &[KindDemand]) -> Vec<f32> {
    let services = demands.iter().map(|kind| kind.service + 1).max().unwrap_or(0);
    let (mut wanted, mut share) = (vec![0.0_f32; services], vec![0.0_f32; services]);
    for kind in demands {
        wanted[kind.service] += kind.wanted;
        share[kind.service] = kind.share;
    }
    let mut left = fill_services(slots, &wanted, &share);
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

/// Gives each service up to its demand, in proportion to the shares.
fn fill_services(slots: f32, wanted: &[f32], share: &[f32]) -> Vec<f32> {
    let mut given = vec![0.0_f32; wanted.len()];
    let mut left = slots.max(0.0);
    // Each iteration either satisfies a service completely or uses up the remaining room.
    for _ in 0..=wanted.len() {
        let open: Vec<usize> = (0..wanted.len()).filter(|s| given[*s] < wanted[*s]).collect();
        let weight = |service: usize| share[service].max(MIN_SHARE);
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

/// Weight of a service without a share, which still gets what no other service wants.
const MIN_SHARE: f32 = 0.001;
