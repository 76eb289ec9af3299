//! Configurations of thousands of routes: an accepted one must reach every replica.

use std::collections::BTreeMap;
use std::time::Duration;

use pulley_core::process::{ProbeRate, ShareFraction, SlotCount};
use pulley_core::version::{
    ChangeAnswer, ChangeRefusal, ChangeRequest, HostMatch, KindPlan, LogCommand, MethodMatch,
    PLAN_BYTES_LIMIT, PLAN_ROW_LIMIT, PolicyPlan, QuestionRouter, ReplicaAnswer, ReplicaQuestion,
    ReplicaSettings, RequestPriority, RouteTerms, RouterOutput, SHEET_LIMIT, SizeFault, WorkLength,
};
use pulley_core::{ConfigVersion, Moment};
use pulleyd::connection::FRAME_LIMIT;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fake_cluster::{FakeCluster, NetworkFaults, host_name};

/// Ten times the routes that an operator has added at once.
const MANY_ROUTES: usize = 14_000;

/// A configuration as operators send it, on one line, with names that have little in common.
pub(crate) struct RouteSheet {
    routes: Vec<(String, KindPlan)>,
}

impl RouteSheet {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let routes = (0..count).map(|number| route(number, &mut random)).collect();
        Self { routes }
    }

    /// Changes the weight of one route.
    fn set_weight(&mut self, place: usize, weight: u32) {
        self.routes[place].1.route.weight = weight;
    }

    fn sheet(&self, version: u64) -> String {
        let routes = self.routes.iter().map(|(text, row)| {
            let weight = row.route.weight;
            format!(
                "{{{text},\"divided_over\":[{{\"Service\":\"{}\",\"Weight\":{weight}}}],\
                 \"most_trials\":2}}",
                row.pool
            )
        });
        let routes: Vec<String> = routes.collect();
        format!(
            "{{\"Version\":\"{version:08x}\",\"Routes\":[{}],\"pool_set\":[]}}",
            routes.join(",")
        )
    }

    pub(crate) fn request(&self, version: u64) -> ChangeRequest {
        let kinds = self.routes.iter().map(|(_, row)| row.clone()).collect();
        ChangeRequest {
            change_id: format!("change-{version}").parse().expect("a valid name"),
            actor: "operator".parse().expect("a valid name"),
            expect: ConfigVersion::default(),
            assigned_version: Some(ConfigVersion(version)),
            received_unix_ms: 1_700_000_000_000,
            sheet: self.sheet(version),
            plan: PolicyPlan { kinds, ..PolicyPlan::default() },
        }
    }

    fn question(&self, version: u64) -> ReplicaQuestion {
        ReplicaQuestion::Apply(self.request(version))
    }
}

fn random_word(random: &mut StdRng, length: usize) -> String {
    (0..length).map(|_| char::from(random.random_range(b'a'..=b'z'))).collect()
}

fn route(number: usize, random: &mut StdRng) -> (String, KindPlan) {
    let name = format!("r-{}{number}", random_word(random, 5));
    let host = format!("{}.example", random_word(random, 6));
    let path = format!("/{}/{}/", random_word(random, 7), random_word(random, 4));
    let text = format!(
        "\"Name\":\"{name}\",\"Host\":\"{host}\",\"path_start\":\"{path}\",\"Kind\":\"safe\",\
         \"time_lim\":0.8,\"target_seconds\":0.3,\"Priority\":2"
    );
    let row = KindPlan {
        pool: format!("pool-{}", number % 300).parse().expect("a valid name"),
        service: format!("pool-{}", number % 300).parse().expect("a valid name"),
        kind: name.parse().expect("a valid name"),
        method: MethodMatch::Any,
        path_prefix: path.into(),
        priority: RequestPriority(2),
        share: ShareFraction::from_basis_points(0).expect("at most the whole"),
        reserved_slots: SlotCount(0),
        deadline: Duration::from_millis(800),
        idempotent: true,
        length: WorkLength::Short,
        probe_budget: ProbeRate(0),
        route: RouteTerms { host: HostMatch::Only(host.into()), ..RouteTerms::default() },
    };
    (text, row)
}

fn accepted(version: u64) -> ReplicaAnswer {
    ReplicaAnswer::Change(ChangeAnswer::Accepted { version: ConfigVersion(version) })
}

/// Returns the size of the latest change in the leader's log, in bytes.
fn last_change_bytes(cluster: &FakeCluster) -> usize {
    let node = cluster.driver(cluster.leader().expect("one leads")).node();
    let mut index = node.last_index();
    loop {
        let entry = node.entry(index).expect("the log holds a change");
        if matches!(entry.command, LogCommand::Change(_)) {
            return postcard::to_allocvec(&**entry).expect("can be encoded").len();
        }
        index = index.previous();
    }
}

// Guards against a change that is logged but fits no frame. A change of 14,000 routes was put into
// the log like that and blocked all later entries.
#[test]
fn many_routes_at_once_do_not_block_the_log() {
    let mut cluster = FakeCluster::new(5, 1);
    cluster.wait_for_leader();
    let few = RouteSheet::new(140, 1);
    let many = RouteSheet::new(MANY_ROUTES, 1);
    assert_eq!(cluster.ask_leader_quickly(&few.question(5)), accepted(5));
    assert_eq!(cluster.ask_leader_quickly(&many.question(6)), accepted(6));
    assert_eq!(cluster.ask_leader_quickly(&few.question(7)), accepted(7));
    cluster.run(Duration::from_secs(1));
    for number in 0..5 {
        assert_eq!(cluster.version(number), ConfigVersion(7));
    }
}

// Guards against logging unchanged routes: after a change of one weight in 14,000 routes, every
// replica was sent all of them.
#[test]
fn one_weight_of_many_routes_is_small_in_the_log() {
    let mut cluster = FakeCluster::new(3, 2);
    cluster.wait_for_leader();
    let mut routes = RouteSheet::new(MANY_ROUTES, 2);
    assert_eq!(cluster.ask_leader_quickly(&routes.question(6)), accepted(6));
    routes.set_weight(7_000, 7);
    assert_eq!(cluster.ask_leader_quickly(&routes.question(8)), accepted(8));
    let bytes = last_change_bytes(&cluster);
    assert!(bytes < 1_024, "{bytes} bytes");
    cluster.run(Duration::from_secs(1));
    let asked = routes.request(8);
    for number in 0..3 {
        let plan = cluster.driver(number).machines().configuration.current().clone();
        assert!(plan.sheet == asked.sheet && plan.plan == asked.plan);
    }
}

// A change was stored as a difference from the version in force while another change was pending.
// It was then applied to a different base.
#[test]
fn a_change_right_after_another_builds_what_was_sent() {
    let mut cluster = FakeCluster::new(3, 3);
    cluster.wait_for_leader();
    let mut routes = RouteSheet::new(200, 3);
    assert_eq!(cluster.ask_leader_quickly(&routes.question(1)), accepted(1));
    let leader = cluster.wait_for_leader();
    let tokens = (2..6).map(|version| {
        routes.set_weight(version as usize, 7);
        (version, cluster.ask(leader, routes.question(version)))
    });
    let tokens: Vec<(u64, u64)> = tokens.collect();
    cluster.run(Duration::from_secs(1));
    for (version, token) in tokens {
        assert_eq!(cluster.answers.get(&token), Some(&accepted(version)));
    }
    let plan = cluster.driver(leader).machines().configuration.current().clone();
    assert_eq!((&plan.sheet, &plan.plan), (&routes.request(5).sheet, &routes.request(5).plan));
}

// Leaders die and messages are lost while changes arrive in bursts. On every replica, the
// configuration in force under a version must be the one sent under it.
#[test]
fn bursts_of_changes_on_an_unreliable_network_build_what_was_sent() {
    for seed in 0..40 {
        let mut cluster = FakeCluster::on_unreliable_network(3, seed, ReplicaSettings::default());
        let mut routes = RouteSheet::new(30, seed);
        let mut sent = BTreeMap::new();
        for version in 1..60_u64 {
            routes.set_weight(version as usize % 30, version as u32);
            sent.insert(version, routes.request(version));
            for number in 0..3 {
                if cluster.is_up(number) {
                    cluster.ask(number, routes.question(version));
                }
            }
            let pause = cluster.random.random_range(0..60);
            cluster.run(Duration::from_millis(pause));
            if version % 20 == 10 {
                let leader = cluster.wait_for_leader();
                cluster.kill(leader);
                cluster.run(Duration::from_millis(50));
                cluster.start(leader);
            }
        }
        cluster.faults = NetworkFaults::NONE;
        cluster.wait_for_leader();
        assert_eq!(cluster.ask_leader(&routes.question(60)), accepted(60));
        sent.insert(60, routes.request(60));
        cluster.run(Duration::from_secs(3));
        for number in 0..3 {
            let plan = cluster.driver(number).machines().configuration.current().clone();
            let asked = &sent[&plan.version.0];
            assert_eq!(plan.version, ConfigVersion(60), "seed {seed}");
            assert!(plan.sheet == asked.sheet && plan.plan == asked.plan, "seed {seed}");
        }
    }
}

// Guards against logging a configuration that is too large for a frame, which happened. It must be
// refused before it is put into the log.
#[test]
fn a_configuration_that_is_too_large_is_refused_and_never_logged() {
    let mut cluster = FakeCluster::new(3, 4);
    let leader = cluster.wait_for_leader();
    cluster.run(Duration::from_secs(1));
    let last = cluster.driver(leader).node().last_index();
    let few = RouteSheet::new(10, 4);
    let row = few.request(1).plan.kinds[0].clone();
    let long = KindPlan { path_prefix: "x".repeat(2_000).into(), ..row.clone() };
    let [mut sheet, mut rows, mut plan] = [1, 2, 3].map(|version| few.request(version));
    sheet.sheet = " ".repeat(SHEET_LIMIT + 1);
    rows.plan.kinds = vec![row; PLAN_ROW_LIMIT + 1];
    plan.plan.kinds = vec![long; PLAN_BYTES_LIMIT / 2_000 + 1];
    for request in [sheet, rows, plan] {
        let fault = SizeFault::check(&request).expect_err("it is too large").to_string();
        let refused = ChangeAnswer::Refused(ChangeRefusal::TooLarge { fault });
        let question = ReplicaQuestion::Apply(request);
        assert_eq!(cluster.ask_leader_quickly(&question), ReplicaAnswer::Change(refused));
    }
    assert_eq!(cluster.driver(leader).node().last_index(), last);
}

// The largest configuration that is accepted must still fit a frame, even if its characters do not
// compress.
#[test]
fn the_largest_accepted_configuration_fits_a_frame() {
    let mut random = StdRng::seed_from_u64(5);
    let mut request = RouteSheet::new(1, 5).request(6);
    request.sheet =
        (0..SHEET_LIMIT).map(|_| char::from(random.random_range(b' '..=b'~'))).collect();
    let row = request.plan.kinds[0].clone();
    while SizeFault::check(&request).is_ok() {
        let path_prefix = random_word(&mut random, 60_000).into();
        request.plan.kinds.push(KindPlan { path_prefix, ..row.clone() });
    }
    request.plan.kinds.pop();
    let mut cluster = FakeCluster::new(3, 5);
    cluster.wait_for_leader();
    let question = ReplicaQuestion::Apply(request);
    assert_eq!(cluster.ask_leader_quickly(&question), accepted(6));
    cluster.run(Duration::from_secs(1));
    for number in 0..3 {
        assert_eq!(cluster.version(number), ConfigVersion(6));
    }
    let answer = ReplicaAnswer::Sheet(cluster.driver(0).machines().configuration.sheet());
    for bytes in [question_bytes(&question), answer_bytes(&answer)] {
        assert!(bytes > SHEET_LIMIT && bytes <= FRAME_LIMIT, "{bytes} bytes");
    }
}

/// Returns the size of a question on its way to the leader, in bytes.
fn question_bytes(question: &ReplicaQuestion) -> usize {
    let mut router = QuestionRouter::new(host_name(0), 1);
    router.set_replicas(vec![host_name(1)]);
    let (_, outputs) = router.ask(Moment::ZERO, question.clone()).expect("it has room");
    sent_bytes(&outputs)
}

/// Returns the size of an answer on its way back, in bytes.
fn answer_bytes(answer: &ReplicaAnswer) -> usize {
    let mut asker = QuestionRouter::new(host_name(0), 1);
    asker.set_replicas(vec![host_name(1)]);
    let (_, outputs) = asker.ask(Moment::ZERO, ReplicaQuestion::CurrentPlan).expect("it has room");
    let [RouterOutput::Send { body, .. }] = &outputs[..] else { panic!("not sent") };
    let mut leader = QuestionRouter::new(host_name(1), 1);
    leader.set_replicas(vec![host_name(1)]);
    let asked = leader.receive(Moment::ZERO, &host_name(0), body);
    let [RouterOutput::AskLocal { number, .. }] = &asked[..] else { panic!("not taken") };
    sent_bytes(&leader.handle_local_answer(Moment::ZERO, *number, answer.clone()))
}

fn sent_bytes(outputs: &[RouterOutput]) -> usize {
    let [RouterOutput::Send { body, .. }] = outputs else { panic!("not sent") };
    body.len()
}
