//! Tests of the router that brings questions to the leader.

use std::time::Duration;

use pulley_core::process::HostId;
use pulley_core::version::{
    ChangeRequest, PolicyPlan, QuestionRouter, ReplicaAnswer, ReplicaQuestion, RouterOutput,
    SheetView,
};
use pulley_core::{ConfigVersion, Moment};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const START: Moment = Moment::ZERO;

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid name")
}

fn router(own: usize) -> QuestionRouter {
    let mut router = QuestionRouter::new(host(own), 1);
    router.set_replicas(vec![host(1), host(2)]);
    router
}

/// Creates a change with an incompressible sheet.
fn change(bytes: usize) -> ReplicaQuestion {
    let mut random = StdRng::seed_from_u64(1);
    ReplicaQuestion::Apply(ChangeRequest {
        change_id: "change".parse().expect("a valid name"),
        actor: "operator".parse().expect("a valid name"),
        expect: ConfigVersion(0),
        assigned_version: Some(ConfigVersion(7)),
        received_unix_ms: 0,
        sheet: (0..bytes).map(|_| char::from(random.random_range(b' '..=b'~'))).collect(),
        plan: PolicyPlan::default(),
    })
}

fn sent(outputs: &[RouterOutput]) -> Option<usize> {
    match outputs {
        [RouterOutput::Send { body, .. }] => Some(body.len()),
        [] => None,
        _ => panic!("one message at most"),
    }
}

// Guards against sending a change of a megabyte to every replica in turn while the first replica is
// still receiving it.
#[test]
fn a_large_question_is_not_sent_again_during_its_transfer() {
    for (bytes, again) in [(100, 700), (128 << 10, 1_700), (512 << 10, 4_700)] {
        let mut router = router(0);
        let (_, outputs) = router.ask(START, change(bytes)).expect("it has room");
        assert!(sent(&outputs).is_some_and(|sent| sent >= bytes));
        let just_before = START + Duration::from_millis(again - 1);
        assert_eq!(sent(&router.tick(just_before)), None, "{bytes} bytes");
        let later = START + Duration::from_millis(again + 60);
        assert!(sent(&router.tick(later)).is_some(), "{bytes} bytes");
    }
}

// Guards against giving up on a change of a megabyte after 4 s while it is still in transfer over a
// slow link.
#[test]
fn a_large_question_is_not_given_up_during_its_transfer() {
    for (bytes, limit) in [(100, 4_000), (1 << 20, 12_000)] {
        let mut router = router(0);
        router.ask(START, change(bytes)).expect("it has room");
        router.tick(START + Duration::from_millis(limit - 1));
        assert_eq!(router.waiting(), 1, "{bytes} bytes");
        router.tick(START + Duration::from_millis(limit + 100));
        assert_eq!(router.waiting(), 0, "{bytes} bytes");
    }
}

// Guards against sending a configuration of several thousand routes uncompressed over slow links.
#[test]
fn configurations_are_compressed_in_questions_and_answers() {
    let rows: Vec<String> = (0..10_000).map(|row| format!("{{\"Name\":\"row-{row}\"}}")).collect();
    let (sheet, version) = (rows.join(","), ConfigVersion(7));
    let ReplicaQuestion::Apply(request) = change(0) else { panic!("a change") };
    let put = ReplicaQuestion::Apply(ChangeRequest { sheet: sheet.clone(), ..request });
    let shown = ReplicaAnswer::Sheet(SheetView { version, sheet: sheet.clone() });
    let (mut asker, mut leader) = (router(0), router(1));
    for question in [put, ReplicaQuestion::CurrentPlan] {
        let (asked, outputs) = asker.ask(START, question.clone()).expect("it has room");
        let [RouterOutput::Send { body, .. }] = &outputs[..] else { panic!("not sent") };
        assert!(body.len() < sheet.len() / 2, "{} bytes", body.len());
        let taken = leader.receive(START, &host(0), body);
        let [RouterOutput::AskLocal { number, question: arrived }] = &taken[..] else {
            panic!("not taken")
        };
        assert_eq!(*arrived, question);
        let back = leader.handle_local_answer(START, *number, shown.clone());
        let [RouterOutput::Send { body, .. }] = &back[..] else { panic!("not answered") };
        assert!(body.len() < sheet.len() / 2, "{} bytes", body.len());
        let answered = asker.receive(START, &host(1), body);
        assert_eq!(answered, [RouterOutput::Answer { number: asked, answer: shown.clone() }]);
    }
}
