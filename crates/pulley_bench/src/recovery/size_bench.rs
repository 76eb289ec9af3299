//! Measures the cost of one change, by the number of routes in the configuration.

use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use pulley_core::process::{HostId, Moment};
use pulley_core::version::{
    ChangeAnswer, ChangeRequest, ConfigVersion, ConfigurationMachine, HostMatch, KindPlan,
    LogCommand, LogEntry, LogIndex, LogTime, PolicyPlan, QuestionRouter, ReplicaMachines,
    ReplicaQuestion, RouterOutput, SnapshotPosition, StoredChange, StoredPlan, Term,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::memory_bench::resident_bytes;
use super::stream_bench::row_plan;

/// How often each step is repeated. The median is reported.
const REPEATS: usize = 9;

/// The number of copies of a configuration over which its memory is averaged.
const COPIES: usize = 8;

/// The numbers of routes in the measured configurations.
const SIZES: [usize; 4] = [140, 1_400, 5_000, 14_000];

/// Measures a first configuration of each size and then a change of one weight in it.
pub(crate) fn measure_sizes() -> Result<()> {
    for count in SIZES {
        let mut rows = routes(count)?;
        let whole = request(&rows, 1)?;
        let empty = ReplicaMachines::default();
        let full = measure("whole", count, &empty, &whole)?;
        measure_memory(&whole)?;
        rows[count / 2].route.weight = 7;
        let one_weight = request(&rows, 2)?;
        measure("one-weight", count, &full, &one_weight)?;
    }
    Ok(())
}

fn measure(
    what: &str,
    count: usize,
    base: &ReplicaMachines,
    request: &ChangeRequest,
) -> Result<ReplicaMachines> {
    let question = ReplicaQuestion::Apply(request.clone());
    let (frame, send_ms) = time_repeats(|| forward_question(&question))?;
    let (_, take_ms) = time_repeats(|| receive_frame(&frame))?;
    let current = base.configuration.current();
    let (change, store_ms) = time_repeats(|| Ok(StoredChange::new(request.clone(), current)))?;
    let entry = LogEntry {
        index: LogIndex(request.assigned_version.map_or(0, |given| given.0)),
        term: Term(1),
        time: LogTime::default(),
        command: LogCommand::Change(Box::new(change.clone())),
    };
    let (encoded, encode_ms) = time_repeats(|| Ok(postcard::to_stdvec(&entry)?))?;
    let (_, decode_ms) = time_repeats(|| Ok(postcard::from_bytes::<LogEntry>(&encoded)?))?;
    let (machine, apply_ms) =
        time_repeats(|| apply_change(&base.configuration, entry.index, &change))?;
    let after = ReplicaMachines { configuration: machine, ..ReplicaMachines::default() };
    let (snapshot, snapshot_ms) =
        time_repeats(|| Ok(after.snapshot(SnapshotPosition::default())?))?;
    println!(
        "part=sizes change={what} routes={count} sheet_bytes={} plan_bytes={} frame_bytes={} \
         entry_bytes={} entry_weight={} snapshot_bytes={} send_ms={send_ms:.1} \
         take_ms={take_ms:.1} store_ms={store_ms:.1} encode_ms={encode_ms:.1} \
         decode_ms={decode_ms:.1} apply_ms={apply_ms:.1} snapshot_ms={snapshot_ms:.1}",
        request.sheet.len(),
        postcard::to_stdvec(&request.plan)?.len(),
        frame.len(),
        encoded.len(),
        entry.estimated_bytes(),
        snapshot.state.len(),
    );
    Ok(after)
}

/// Measures the memory of a configuration in force, decoded as from a snapshot.
fn measure_memory(request: &ChangeRequest) -> Result<()> {
    let version = ConfigVersion(1);
    let plan = StoredPlan { version, sheet: request.sheet.clone(), plan: request.plan.clone() };
    let encoded = postcard::to_stdvec(&plan)?;
    let before = resident_bytes();
    let copies: Vec<StoredPlan> = (0..COPIES)
        .map(|_| postcard::from_bytes(&encoded))
        .collect::<std::result::Result<_, _>>()?;
    let bytes = resident_bytes().saturating_sub(before) / copies.len() as u64;
    println!("part=plan-memory routes={} resident_bytes={bytes}", request.plan.kinds.len());
    Ok(())
}

/// Repeats a step. Returns its last result and the median of its times in milliseconds.
fn time_repeats<T>(mut step: impl FnMut() -> Result<T>) -> Result<(T, f64)> {
    let mut times = Vec::new();
    let mut last = None;
    for _ in 0..REPEATS {
        let started = Instant::now();
        last = Some(step()?);
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let median = times.get(REPEATS / 2).map_or(0.0, Duration::as_secs_f64) * 1e3;
    Ok((last.ok_or_else(|| eyre!("the step was not run"))?, median))
}

/// Returns the frame in which a host forwards a question to a replica.
fn forward_question(question: &ReplicaQuestion) -> Result<Vec<u8>> {
    let mut router = QuestionRouter::new(host(0)?, 1);
    router.set_replicas(vec![host(1)?]);
    let outputs = router.ask(Moment::ZERO, question.clone()).map(|(_, outputs)| outputs);
    match outputs.as_deref() {
        Some([RouterOutput::Send { body, .. }]) => Ok(body.to_vec()),
        other => Err(eyre!(
            "expected one message, but the router has {} outputs",
            other.map_or(0, <[_]>::len)
        )),
    }
}

/// Receives a forwarded frame as the leader does and returns the number of outputs.
fn receive_frame(frame: &[u8]) -> Result<usize> {
    let mut router = QuestionRouter::new(host(1)?, 1);
    router.set_replicas(vec![host(1)?]);
    let outputs = router.receive(Moment::ZERO, &host(0)?, frame);
    ensure!(
        matches!(outputs[..], [RouterOutput::AskLocal { .. }]),
        "the forwarded question was not received"
    );
    Ok(outputs.len())
}

fn apply_change(
    base: &ConfigurationMachine,
    index: LogIndex,
    change: &StoredChange,
) -> Result<ConfigurationMachine> {
    let mut machine = base.clone();
    let answer = machine.apply(index, change);
    ensure!(
        matches!(answer, ChangeAnswer::Accepted { .. }),
        "the change was not accepted: {answer:?}"
    );
    Ok(machine)
}

fn host(number: usize) -> Result<HostId> {
    Ok(format!("host-{number}").parse()?)
}

/// Returns rows with random names, paths and host names, which have little in common.
fn routes(count: usize) -> Result<Vec<KindPlan>> {
    let mut random = StdRng::seed_from_u64(1);
    let mut word =
        |length| (0..length).map(|_| char::from(random.random_range(b'a'..=b'z'))).collect();
    let row = |number| -> Result<KindPlan> {
        let (name, host, path): (String, String, String) = (word(5), word(6), word(12));
        let mut row = row_plan(1, 0)?;
        row.pool = format!("pool-{}", number % 300).parse()?;
        row.kind = format!("r-{name}{number}").parse()?;
        row.path_prefix = format!("/{path}/").into();
        row.route.host = HostMatch::Only(format!("{host}.example").into());
        Ok(row)
    };
    (0..count).map(row).collect()
}

/// Returns a change to the given rows, whose sheet is one line of JSON as operators send it.
fn request(rows: &[KindPlan], version: u64) -> Result<ChangeRequest> {
    let texts = rows.iter().map(|row| {
        format!(
            "{{\"Name\":\"{}\",\"Host\":{:?},\"path_start\":\"{}\",\"Kind\":\"safe\",\
             \"time_lim\":0.8,\"target_seconds\":0.3,\"Priority\":2,\"divided_over\":\
             [{{\"Service\":\"{}\",\"Weight\":{}}}],\"most_trials\":2}}",
            row.kind, row.route.host, row.path_prefix, row.pool, row.route.weight
        )
    });
    let texts: Vec<String> = texts.collect();
    Ok(ChangeRequest {
        change_id: format!("change-{version}").parse()?,
        actor: "operator".parse()?,
        expect: ConfigVersion::default(),
        assigned_version: Some(ConfigVersion(version)),
        received_unix_ms: 1_700_000_000_000,
        sheet: format!("{{\"Version\":\"{version:08x}\",\"Routes\":[{}]}}", texts.join(",")),
        plan: PolicyPlan { kinds: rows.to_vec(), ..PolicyPlan::default() },
    })
}
