//! Plans whose rows have random-looking names, like those made by operators' tools.

use std::sync::Arc;
use std::time::Duration;

use pulley_core::ConfigVersion;
use pulley_core::process::{ProbeRate, ShareFraction, SlotCount};
use pulley_core::version::{
    AnswerSize, HostMatch, KindPlan, MethodMatch, PolicyPlan, RequestPriority, RouteTerms,
    SheetPrinter, StoredPlan, WorkLength,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

const POOLS: [&str; 3] = ["rada90a", "fira61b", "baba60c"];
const HOSTS: [&str; 4] = ["rawu41.example", "kilo7.example", "wapu220.example", "zetu9.example"];

/// A plan to which rows are added one by one.
#[derive(Clone, Debug)]
pub(crate) struct RouteRows {
    plan: PolicyPlan,
    rng: SmallRng,
}

impl RouteRows {
    pub(crate) fn new(seed: u64) -> Self {
        Self { plan: PolicyPlan::default(), rng: SmallRng::seed_from_u64(seed) }
    }

    /// Appends rows.
    pub(crate) fn add(&mut self, rows: usize) {
        for _ in 0..rows {
            let row = self.row();
            self.plan.kinds.push(row);
        }
    }

    /// Sets the weight of one row, which determines its share of the requests.
    pub(crate) fn set_weight(&mut self, row: usize, weight: u32) {
        self.plan.kinds[row].route.weight = weight;
    }

    /// Returns the plan in its accepted form, with the sheet that it was read from.
    pub(crate) fn version(&self, version: u64) -> Arc<StoredPlan> {
        let (plan, sheet) = (self.plan.clone(), SheetPrinter::print(&self.plan));
        Arc::new(StoredPlan { version: ConfigVersion(version), sheet, plan })
    }

    fn row(&mut self) -> KindPlan {
        let pool = POOLS[self.rng.random_range(0..POOLS.len())];
        let share = match self.plan.kinds.iter().any(|row| row.pool.as_str() == pool) {
            true => ShareFraction::default(),
            false => ShareFraction::WHOLE,
        };
        let host = SmolStr::new(HOSTS[self.rng.random_range(0..HOSTS.len())]);
        let target = Duration::from_millis(100 * self.rng.random_range(1..=4));
        KindPlan {
            pool: pool.parse().expect("a valid name"),
            service: pool.parse().expect("a valid name"),
            kind: format!("r-{}", self.letters(7)).parse().expect("a valid name"),
            method: MethodMatch::Any,
            path_prefix: format!("/{}/", self.letters(8)).into(),
            priority: RequestPriority(self.rng.random_range(0..4)),
            share,
            reserved_slots: SlotCount(0),
            deadline: target * self.rng.random_range(2..=5),
            idempotent: self.rng.random_bool(0.7),
            length: WorkLength::Short,
            probe_budget: ProbeRate(0),
            route: RouteTerms {
                host: HostMatch::Only(host),
                weight: 100,
                attempts: self.rng.random_range(1..=3),
                answers: AnswerSize::Small,
                target: Some(target),
                connections: Some(300),
                public: false,
            },
        }
    }

    fn letters(&mut self, count: usize) -> String {
        const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";
        let letter = |_| char::from(LETTERS[self.rng.random_range(0..LETTERS.len())]);
        (0..count).map(letter).collect()
    }
}
