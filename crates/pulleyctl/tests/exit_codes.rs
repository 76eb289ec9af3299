//! Exit codes and messages of the `pulleyctl` binary with stand-in hosts on loopback.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::thread;

use tempfile::TempDir;

const SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kolkhi.csv");
const ACCEPTED: &str = r#"{"accepted":{"version":5}}"#;
const IN_FORCE: &str = r#"{"version":4,"sheet":"pool\n"}"#;

/// How a stand-in host replies to a request.
enum HostReply {
    Answer(u16, &'static str),
    /// Status 503, to be asked again after some seconds.
    Later(u32, &'static str),
    CloseAfterReading,
    Silence,
}

/// Starts a host that gives the replies in order and then repeats the last one.
fn stand_in_host(replies: Vec<HostReply>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut kept_open = Vec::new();
        for (index, stream) in listener.incoming().enumerate() {
            let mut stream = stream.unwrap();
            read_request(&mut stream);
            match &replies[index.min(replies.len() - 1)] {
                HostReply::Answer(status, body) => {
                    let length = body.len();
                    let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n");
                    let _ = stream.write_all((head + body).as_bytes());
                }
                HostReply::Later(seconds, body) => {
                    let length = body.len();
                    let head = format!(
                        "HTTP/1.1 503 x\r\nretry-after: {seconds}\r\ncontent-length: {length}\r\n\r\n"
                    );
                    let _ = stream.write_all((head + body).as_bytes());
                }
                HostReply::CloseAfterReading => {}
                HostReply::Silence => kept_open.push(stream),
            }
        }
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let mut text = Vec::new();
    let mut byte = [0_u8; 1];
    while !text.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0_u8; length.unwrap_or(0)];
    let _ = stream.read_exact(&mut body);
}

/// Returns an address without a listener. Port 1 is used because a free port could be assigned to
/// another test in the meantime.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

struct Outcome {
    code: i32,
    out: String,
    err: String,
}

fn secret_file(folder: &TempDir) -> PathBuf {
    let file = folder.path().join("secret");
    std::fs::write(&file, "key-one\nkey-two\n").unwrap();
    file
}

fn pulleyctl(servers: &[SocketAddr], args: &[&str]) -> Outcome {
    let folder = TempDir::new().unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pulleyctl"));
    command.env_clear().env("PULLEYCTL_SECRET_FILE", secret_file(&folder));
    for server in servers {
        command.arg(format!("--server={server}"));
    }
    let output = command.args(args).output().unwrap();
    Outcome {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

const APPLY: [&str; 5] = ["sheet", "apply", SHEET, "--actor=ana", "--expect=4"];

#[test]
fn an_accepted_sheet_exits_with_0_and_prints_the_change_id() {
    let host = stand_in_host(vec![HostReply::Answer(200, ACCEPTED)]);
    let outcome = pulleyctl(&[host], &APPLY);
    assert_eq!((outcome.code, outcome.out.as_str()), (0, "accepted as version 5\n"));
    assert!(outcome.err.starts_with("change id c-"), "{}", outcome.err);
    assert!(outcome.err.contains("based on version 4"), "{}", outcome.err);
}

#[test]
fn apply_without_expect_is_based_on_the_version_in_force() {
    let host =
        stand_in_host(vec![HostReply::Answer(200, IN_FORCE), HostReply::Answer(200, ACCEPTED)]);
    let outcome = pulleyctl(&[host], &APPLY[..4]);
    assert_eq!((outcome.code, outcome.err.contains("version 4")), (0, true), "{}", outcome.err);
}

/// Two operators apply changes based on the same version. The later one must be told that nothing
/// was done.
#[test]
fn a_lost_race_is_refused_and_not_done() {
    let body = r#"{"refused":{"version-moved":{"current":6}}}"#;
    let host = stand_in_host(vec![HostReply::Answer(409, body)]);
    let outcome = pulleyctl(&[host], &APPLY);
    assert_eq!(outcome.code, 1);
    assert_eq!(outcome.out, "refused, not done: version 6 is in force\n");
}

/// The host receives the change, but its answer is lost: the connection is closed, there is no
/// answer in time, the answer is cut short, or the host itself does not know the outcome. If this
/// were reported as "not done", the operator would apply a second, different change.
#[test]
fn a_lost_answer_is_unknown_and_prints_the_command_to_resend() {
    let unknown = r#"{"unknown":{"why":"no quorum"}}"#;
    for reply in [
        HostReply::CloseAfterReading,
        HostReply::Silence,
        HostReply::Answer(504, unknown),
        HostReply::Answer(504, r#"{"error":"unknown","message":"m"}"#),
        HostReply::Answer(200, "cut sh"),
    ] {
        let other = stand_in_host(vec![HostReply::Answer(200, ACCEPTED)]);
        let args = [&APPLY[..], &["--change-id=c7", "--timeout=700ms"]].concat();
        let outcome = pulleyctl(&[stand_in_host(vec![reply]), other], &args);
        assert_eq!(outcome.code, 3, "{}{}", outcome.out, outcome.err);
        assert!(outcome.err.contains("--change-id c7 --expect 4 --actor ana"), "{}", outcome.err);
    }
}

#[test]
fn unreachable_hosts_and_hosts_without_quorum_are_skipped() {
    let busy = r#"{"error":"no-quorum","message":"no quorum: 1 of 3"}"#;
    let without_quorum = stand_in_host(vec![HostReply::Answer(503, busy)]);
    let good = stand_in_host(vec![HostReply::Answer(200, ACCEPTED)]);
    assert_eq!(pulleyctl(&[closed_address(), without_quorum, good], &APPLY).code, 0);

    let outcome = pulleyctl(&[closed_address(), without_quorum], &APPLY);
    assert_eq!(outcome.code, 1);
    assert!(outcome.err.contains("no quorum: 1 of 3"), "{}", outcome.err);
}

// A host said when it wants to be asked again, and the operator was not told.
#[test]
fn an_operator_is_told_when_a_host_wants_to_be_asked_again() {
    let busy = r#"{"error":"no-quorum","message":"no quorum: 1 of 3"}"#;
    let later = stand_in_host(vec![HostReply::Later(7, busy)]);
    let outcome = pulleyctl(&[later], &APPLY);
    assert_eq!(outcome.code, 1);
    assert!(outcome.err.contains("1 of 3 (again after 7 s)"), "{}", outcome.err);
}

/// A read changes nothing, so the next host is tried after a lost answer.
#[test]
fn a_read_with_a_lost_answer_tries_the_next_host() {
    let status = stand_in_host(vec![HostReply::Answer(200, r#"{"host":"a","log":{"term":3}}"#)]);
    let lost = stand_in_host(vec![HostReply::CloseAfterReading]);
    let outcome = pulleyctl(&[lost, status], &["status"]);
    assert_eq!((outcome.code, outcome.out.as_str()), (0, "host=a\nlog.term=3\n"));
    assert_eq!(pulleyctl(&[lost], &["status"]).code, 1);
    let refused = stand_in_host(vec![HostReply::Answer(401, r#"{"message":"the key"}"#)]);
    assert_eq!(pulleyctl(&[refused], &["status"]).code, 1);
}

#[test]
fn status_shows_hosts_and_members_as_tables() {
    let status = r#"{"host":"a","version":3,
        "hosts":[{"host":"b","zone":"z","peer":"10.0.0.2:1","roles":{"entry":true,"replica":false}},
                 {"host":"a","zone":"z","peer":"10.0.0.1:1","roles":{"entry":true,"replica":true}}],
        "replica":{"term":7,"members":[]},
        "replicas":[{"member":1,"host":"a","voter":true,"disk":5}]}"#;
    let host = stand_in_host(vec![HostReply::Answer(200, status)]);
    let expected = "host=a\nreplica.term=7\nversion=3\n\n\
        live host  zone  peer        roles\n\
        a          z     10.0.0.1:1  entry,replica\n\
        b          z     10.0.0.2:1  entry\n\n\
        member  host  votes  joined\n\
        m1      a     yes    yes\n";
    assert_eq!(pulleyctl(&[host], &["status"]).out, expected);
    let json = pulleyctl(&[host], &["status", "--json"]).out;
    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value["replica"]["term"], 7);
}

#[test]
fn all_faults_of_a_sheet_are_listed_and_it_is_never_sent() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("sheet.csv");
    let text = std::fs::read_to_string(SHEET).unwrap();
    std::fs::write(&file, text.replace("50%", "150%").replacen("yes", "perhaps", 1)).unwrap();
    let file = file.to_str().unwrap();
    let outcome = pulleyctl(&[], &["sheet", "check", file]);
    assert_eq!((outcome.code, outcome.out.lines().count()), (1, 2), "{}", outcome.out);
    let json = pulleyctl(&[], &["--json", "sheet", "check", file]).out;
    let faults: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(faults["faults"][0]["column"], "share");
    assert_eq!(faults["faults"][0]["row"], 2);
    assert_eq!(pulleyctl(&[closed_address()], &["sheet", "apply", file, "--actor=a"]).code, 1);
}

/// An operator evacuates a zone. The exit code must distinguish done, refused and unknown: an
/// operator who takes a refused order for done would shut down machines that still get work.
#[test]
fn an_order_for_a_zone_is_done_refused_or_unknown() {
    let evacuate = ["zone", "evacuate", "z1", "--actor=ana", "--timeout=700ms"];
    for (reply, code, text) in [
        (HostReply::Answer(200, r#"{"accepted":{"revision":9}}"#), 0, "accepted: z1 evacuated"),
        (HostReply::Answer(409, r#"{"overtaken":{"current":"in-use"}}"#), 1, "it is in-use"),
        (HostReply::Answer(409, r#""too-many""#), 1, "too many zones"),
        (HostReply::Answer(503, r#"{"error":"no-quorum","message":"1 of 3"}"#), 1, "1 of 3"),
        (HostReply::Answer(504, r#"{"error":"unknown","message":"m"}"#), 3, "zone evacuate z1"),
        (HostReply::CloseAfterReading, 3, "--change-id z-"),
        (HostReply::Silence, 3, "--actor ana"),
    ] {
        let outcome = pulleyctl(&[stand_in_host(vec![reply])], &evacuate);
        let output = outcome.out + &outcome.err;
        assert_eq!(outcome.code, code, "{output}");
        assert!(output.contains(text), "{output}");
    }
    let zones = r#"{"revision":9,"zones":["z1","z3"]}"#;
    let host = stand_in_host(vec![HostReply::Answer(200, zones)]);
    assert_eq!(pulleyctl(&[host], &["zone", "list"]).out, "z1\nz3\n");
    let host = stand_in_host(vec![HostReply::Answer(200, r#"{"revision":9,"zones":[]}"#)]);
    assert_eq!(pulleyctl(&[host], &["zone", "list"]).out, "no zone is evacuated\n");
}

#[test]
fn contents_are_listed_with_their_evidence_and_cleared() {
    let contents = r#"{"contents":[{"digest":"c0ffee","pool":"cover","retry_after_s":42,"ends":[
        {"upstream":"u1","incarnation":7,"age_s":18,"trial":false},
        {"upstream":"u2","incarnation":9,"age_s":18,"trial":true}]}]}"#;
    let host = stand_in_host(vec![HostReply::Answer(200, contents)]);
    let expected = "digest  pool   retry after s  upstream  incarnation  age s  trial\n\
        c0ffee  cover  42             u1        7            18     false\n\
        c0ffee  cover  42             u2        9            18     true\n";
    assert_eq!(pulleyctl(&[host], &["content", "list"]).out, expected);
    let host = stand_in_host(vec![HostReply::Answer(200, r#"{"contents":[]}"#)]);
    assert_eq!(pulleyctl(&[host], &["content", "list"]).out, "no content is suspected\n");
    for args in [["content", "clear", "c0ffee"], ["content", "clear-pool", "cover"]] {
        let host = stand_in_host(vec![HostReply::Answer(200, r#"{"cleared":1}"#)]);
        let outcome = pulleyctl(&[host], &[&args[..], &["--actor=ana"]].concat());
        assert_eq!((outcome.code, outcome.out.as_str()), (0, "cleared=1\n"), "{}", outcome.err);
    }
}

#[test]
fn a_faulty_command_line_exits_with_2() {
    for args in [
        &[][..],
        &["sheet"],
        &["sheet", "apply", SHEET, "--actor=a", "--change-id=c1"],
        &["sheet", "apply", "/nowhere", "--actor=a", "--expect=1"],
        &["drain", "two words"],
        &["content", "clear", "not-hex", "--actor=a"],
        &["content", "clear"],
        &["zone", "evacuate"],
        &["zone", "evacuate", "two words", "--actor=a"],
        &["zone", "restore", "z1"],
        &["audit", "--since=yesterday"],
        &["--server=localhost", "status"],
        &["--colour=red", "status"],
    ] {
        let outcome = pulleyctl(&[], args);
        assert_eq!(outcome.code, 2, "{args:?}: {}", outcome.err);
    }
    assert_eq!(pulleyctl(&[], &["--help"]).code, 0);
}

/// `explain` prints the lines of a request that two hosts logged, in order of time. It includes the
/// hosts' own events around that time, and no lines of other requests.
#[test]
fn explain_finds_a_request_in_the_logs_of_many_hosts() {
    let folder = TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        file.to_string_lossy().into_owned()
    };
    let one = write(
        "entry-1.log",
        "ts=2026-07-05T07:10:41.500Z level=info event=membership live=33\n\
         ts=2026-07-05T07:10:42.100Z level=info event=request-refused id=9c41 cause=pool-busy\n\
         ts=2026-07-05T07:10:42.200Z level=info event=request-answered id=other status=200\n\
         ts=2026-07-05T07:10:50.000Z level=info event=membership live=34\n",
    );
    let two = write(
        "entry-2.log",
        "12.5 ts=2026-07-05T07:10:42.050Z level=info event=attempt-failed id=9c41 content=c0ffee cause=\"x y\"\n",
    );
    let three = write("entry-3.log", "ts=2026-07-05T07:10:42.000Z level=info event=listening\n");
    let outcome = pulleyctl(&[], &["explain", "9c41", &one, &two, &three]);
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    let hosts: Vec<&str> =
        outcome.out.lines().filter_map(|line| line.split(" ts=").next()).collect();
    assert_eq!(hosts, ["entry-1:", "entry-2:", "entry-1:"], "{}", outcome.out);
    assert!(outcome.out.contains("event=membership live=33"), "{}", outcome.out);
    assert!(!outcome.out.contains("id=other") && !outcome.out.contains("live=34"));
    let by_content = pulleyctl(&[], &["explain", "c0ffee", &one, &two]).out;
    assert!(by_content.contains("entry-2: ts="), "{by_content}");
    assert_eq!(pulleyctl(&[], &["explain", "unknown", &one]).code, 1);
    assert_eq!(pulleyctl(&[], &["explain", "9c41"]).code, 2);
}

/// `summary` counts late answers and refused requests in the logs of all hosts by second, kind and
/// cause, with the id of one request per row. It also counts the lines that cannot be read.
#[test]
fn summary_adds_up_the_logs_of_many_hosts() {
    let folder = TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        file.to_string_lossy().into_owned()
    };
    let one = write(
        "entry-1.log",
        "ts=2026-07-05T07:10:42.100Z event=request-answered upstream_us=700000 added_us=2000 slowdown=5 running=0 attempts=1 kind=check id=a1\n\
         ts=2026-07-05T07:10:42.200Z event=request-answered upstream_us=100000 added_us=2000 slowdown=1 running=0 attempts=1 kind=check id=a2\n\
         ts=2026-07-05T07:10:42.300Z event=request-refused kind=check cause=pool-busy id=a3\n\
         ts=2026-07-05T07:10:42.400Z event=request-refused kind=check cause=pool-busy id=a4\n\
         torn\n",
    );
    let two = write(
        "entry-2.log",
        "31.4 ts=2026-07-05T07:10:43.000Z event=request-answered upstream_us=200000 added_us=400000 slowdown=1 running=0 attempts=1 kind=check id=b1\n\
         31.5 ts=2026-07-05T07:10:43.100Z event=request-answered upstream_us=600000 added_us=2000 slowdown=1 running=1 attempts=1 kind=check id=b2\n\
         31.6 ts=2026-07-05T07:10:43.100Z event=listening\n",
    );
    let args = ["--late", "500ms", "--csv", "summary", &one, &two];
    let outcome = pulleyctl(&[], &args);
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    let rows: Vec<&str> = outcome.out.lines().collect();
    assert_eq!(
        rows,
        [
            "second,kind,outcome,cause,count,example",
            "2026-07-05T07:10:42Z,check,late,upstream-slowed-down,1,a1",
            "2026-07-05T07:10:42Z,check,refused,pool-busy,2,a3",
            "2026-07-05T07:10:43Z,check,late,beside-other-work,1,b2",
            "2026-07-05T07:10:43Z,check,late,kept-at-entry,1,b1",
        ]
    );
    let totals = "8 lines, 1 unreadable; 4 answered, 3 of them late; 2 refused; 0 left out";
    assert!(outcome.err.contains(totals), "{}", outcome.err);
    let table = pulleyctl(&[], &["summary", &one, &two]);
    assert!(table.out.contains("4 answered, 0 of them late; 2 refused"), "{}", table.out);
    assert_eq!(pulleyctl(&[], &["summary"]).code, 2);
    assert_eq!(pulleyctl(&[], &["summary", "/nowhere/entry.log"]).code, 2);
}
