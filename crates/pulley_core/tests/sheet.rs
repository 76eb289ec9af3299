//! Tests of the sheet reader and printer: what is accepted, what is refused, and that no input
//! causes a panic.

#![allow(clippy::unwrap_used, clippy::needless_pass_by_value, reason = "a panic fails the test")]

use pulley_core::version::{
    IndexedPlan, PolicyPlan, SheetColumn, SheetFaults, SheetPrinter, SheetReader,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

const HEADER: &str = "pool,service,kind,method,path_prefix,priority,share,reserved_slots,\
deadline_ms,idempotent,length,probes_per_s";
const ROW: &str = "cover,brokers,check,GET,/cover,1,50%,2,400,yes,short,1";

/// Number of cases per property.
const CASES: u64 = 3_000;

fn read(text: &str) -> Result<PolicyPlan, SheetFaults> {
    SheetReader::read(text.as_bytes())
}

fn sheet(rows: &[&str]) -> String {
    format!("{HEADER}\n{}\n", rows.join("\n"))
}

fn columns_of(faults: &SheetFaults) -> Vec<(u64, &str)> {
    faults.faults.iter().map(|fault| (fault.row, fault.column.as_str())).collect()
}

#[test]
fn the_examples_are_read_with_their_priorities() {
    let abay = SheetReader::read(include_bytes!("../../../examples/abay.csv")).unwrap();
    let kolkhi = SheetReader::read(include_bytes!("../../../examples/kolkhi.csv")).unwrap();
    let first = abay.kinds.iter().min_by_key(|row| row.priority).unwrap();
    assert_eq!(first.kind.as_str(), "hazard-lookup");
    let once = |plan: &PolicyPlan| -> Vec<String> {
        let rows = plan.kinds.iter().filter(|row| !row.idempotent);
        rows.map(|row| row.kind.to_string()).collect()
    };
    assert_eq!(once(&abay), ["deposit-refund"]);
    assert_eq!(once(&kolkhi), ["bind-policy"]);
}

#[test]
fn every_form_that_planners_tools_export_gives_the_same_plan() {
    let plain = read(&sheet(&[ROW])).unwrap();
    let with_mark = read(&format!("\u{feff}{}", sheet(&[ROW]))).unwrap();
    let crlf = read(&sheet(&[ROW]).replace('\n', "\r\n")).unwrap();
    let semicolons = read(&sheet(&[ROW]).replace(',', ";").replace("50%", "0,5")).unwrap();
    let quoted = read(&sheet(&[&ROW.replace("50%", "\"0,50\"")])).unwrap();
    let blank_rows = read(&format!("{}\n,,,,,,,,,,,\n\n", sheet(&[ROW]))).unwrap();
    let empty_columns = read(&format!("{HEADER},,\n{ROW},,\n")).unwrap();
    for other in [with_mark, crlf, semicolons, quoted, blank_rows, empty_columns] {
        assert_eq!(other, plain);
    }
}

/// A sheet has several mistyped cells. If faults were reported one at a time, the planner would
/// need a round for each, while the previous day's shares stay in force.
#[test]
fn every_fault_is_reported_at_once() {
    let bad = "co ver,,che/ck,FETCH,cover,10,101%,-1,0,maybe,medium,x";
    let faults = read(&sheet(&[bad, ROW])).unwrap_err();
    let expected: Vec<(u64, &str)> =
        SheetColumn::REQUIRED.into_iter().map(|column| (2, column.name())).collect();
    assert_eq!(columns_of(&faults), expected);
    let share = faults.faults.iter().find(|fault| fault.column == "share").unwrap();
    assert_eq!(
        share.to_string(),
        "row 2, column share: \"101%\" is not allowed; allowed: \
         a share such as 25%, 0.25 or 0,25, from 0 to 100%"
    );
}

#[test]
fn shares_over_the_whole_are_refused_at_the_row_that_exceeds() {
    let second = ROW.replace("check", "quote").replace("/cover", "/quote").replace("50%", "50.01%");
    let faults = read(&sheet(&[ROW, &second])).unwrap_err();
    assert_eq!(columns_of(&faults), [(3, "share")]);
    assert!(faults.to_string().contains("at most 50.00%"), "{faults}");
}

/// A row with a wrong method also has a share that, together with the others, exceeds the pool. If
/// the share were checked only after the method is corrected, the planner would need a second
/// round.
#[test]
fn shares_of_rows_with_other_faults_count_too() {
    let first = ROW.replace("GET", "FETCH").replace("50%", "60%");
    let second = ROW.replace("check", "quote").replace("/cover", "/quote");
    let faults = read(&sheet(&[&first, &second])).unwrap_err();
    assert_eq!(columns_of(&faults), [(2, "method"), (3, "share")]);
}

#[test]
fn duplicates_overlaps_and_unknown_columns_are_refused() {
    let same_kind = ROW.replace("/cover", "/other").replace("50%", "1%");
    let same_match = ROW.replace("check", "other").replace("50%", "1%");
    let faults = read(&sheet(&[ROW, &same_kind, &same_match])).unwrap_err();
    assert_eq!(columns_of(&faults), [(3, "kind"), (4, "path_prefix")]);

    let faults = read(&format!("{HEADER},colour,pool\n{ROW},red,x\n")).unwrap_err();
    assert_eq!(columns_of(&faults), [(1, "colour"), (1, "pool")]);

    let faults = read(&format!("{}\n", HEADER.replace("share,", ""))).unwrap_err();
    assert_eq!(columns_of(&faults), [(1, "share")]);

    let faults = read(&sheet(&[&ROW.replace("50%", "0,5")])).unwrap_err();
    assert!(faults.to_string().contains("unquoted"), "{faults}");
}

/// After a failed export the file is empty or holds only a header. If such a sheet were applied, it
/// would take all capacity from every service at once.
#[test]
fn a_sheet_without_rows_is_refused() {
    for text in ["", "\n\n", HEADER] {
        assert!(read(text).is_err(), "{text:?}");
    }
    assert_eq!(columns_of(&SheetReader::read(b"pool\n\xff\xfe").unwrap_err()), [(2, "sheet")]);
}

fn quickcheck() -> QuickCheck {
    QuickCheck::new().tests(CASES).rng(Gen::from_size_and_seed(64, 1))
}

fn is_refused_or_reads_back_equal(bytes: &[u8]) -> bool {
    let Ok(plan) = SheetReader::read(bytes) else { return true };
    SheetReader::read(SheetPrinter::print(&plan).as_bytes()).as_ref() == Ok(&plan)
}

#[test]
fn no_bytes_make_the_reader_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        is_refused_or_reads_back_equal(&bytes)
    }
    quickcheck().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_good_sheet_with_any_damage_is_refused_or_reads_back_equal() {
    fn property(damage: Vec<(u16, u8)>, cut: u16) -> bool {
        let mut bytes = include_bytes!("../../../examples/kolkhi.csv").to_vec();
        let length = bytes.len();
        for (index, byte) in damage.into_iter().take(3) {
            bytes[usize::from(index) % length] = byte;
        }
        if cut.is_multiple_of(2) {
            bytes.truncate(usize::from(cut) % length);
        }
        is_refused_or_reads_back_equal(&bytes)
    }
    quickcheck().quickcheck(property as fn(Vec<(u16, u8)>, u16) -> bool);
}

#[test]
fn accepted_rows_read_back_equal() {
    fn property(parts: u16, priority: u8, deadline: u32, probes: u32, yes: bool) -> bool {
        let share = format!("{}.{:02}%", parts % 101, parts % 100);
        let yes = if yes { "Yes" } else { "0" };
        let row = format!(
            "a,b,c,*,/x,{},{share},{},{},{yes},LONG,{}.{}",
            priority % 10,
            parts % 10_000,
            deadline % 600_001,
            probes % 100_000,
            probes % 1_000
        );
        let text = sheet(&[&row]);
        let refusable = deadline.is_multiple_of(600_001) || parts % 101 == 100;
        (refusable || read(&text).is_ok()) && is_refused_or_reads_back_equal(text.as_bytes())
    }
    quickcheck().quickcheck(property as fn(u16, u8, u32, u32, bool) -> bool);
}

const ROUTED: &str = "pool,service,kind,method,path_prefix,priority,share,reserved_slots,\
deadline_ms,idempotent,length,probes_per_s,host,weight,attempts,answers,target_ms,connections";

fn routed(rows: &[&str]) -> String {
    format!("{ROUTED}\n{}\n", rows.join("\n"))
}

/// A sheet may match requests by host, split them over pools by weight and limit what callers send.
/// When the plan is printed and read again, the result must be the same plan.
#[test]
fn routes_are_read_and_printed() {
    let text = format!(
        "#limit header_bytes 16384\n#limit header_timeout_ms 3000\n{}",
        routed(&[
            "new,desk,check-new,any,/q/,1,50%,0,800,yes,short,0,A.example,10,2,small,300,491",
            "old,desk,check-old,any,/q/,1,50%,0,800,yes,short,0,a.example,90,2,,300,",
            "old,desk,files,GET,/q/,1,0%,0,800,yes,short,0,,,,large,,",
        ])
    );
    let plan = read(&text).unwrap();
    assert_eq!(plan.limits.header_bytes, 16_384);
    assert_eq!(plan.limits.header_timeout, Duration::from_secs(3));
    assert_eq!(plan.kinds[0].route.connections, Some(491));
    assert_eq!(plan.kinds[2].route.attempts, 3);
    assert_eq!(read(&SheetPrinter::print(&plan)).unwrap(), plan);
}

/// A row for one host name takes precedence over rows for any host, whatever their paths. A port or
/// upper-case letters don't make it a different host.
#[test]
fn a_named_host_takes_precedence() {
    let plan = read(&routed(&[
        "old,desk,all,any,/q/long/,1,50%,0,800,yes,short,0,,,,,,",
        "old,desk,one,any,/q/,1,50%,0,800,yes,short,0,a.example,,,,,",
    ]))
    .map(IndexedPlan::from)
    .unwrap();
    let kind = |host: &str, path: &str| {
        plan.find(host, "GET", path, 0).map(|(_, row)| row.kind.to_string())
    };
    assert_eq!(kind("A.example:8080", "/q/long/x").as_deref(), Some("one"));
    assert_eq!(kind("b.example", "/q/long/x").as_deref(), Some("all"));
    assert_eq!(kind("", "/q/long/x").as_deref(), Some("all"));
    assert_eq!(kind("b.example", "/q/x"), None);
}

/// A weight of 10 % tries out a new release. It must get 10 % of any number of requests.
#[test]
fn a_split_keeps_to_its_weights() {
    let plan = read(&routed(&[
        "new,desk,check-new,any,/q/,1,50%,0,800,yes,short,0,,10,,,,",
        "old,desk,check-old,any,/q/,1,50%,0,800,yes,short,0,,90,,,,",
    ]))
    .map(IndexedPlan::from)
    .unwrap();
    let new = (0..10_000_u32).filter(|draw| {
        let (_, row) = plan.find("a", "GET", "/q/x", draw.wrapping_mul(2_654_435_761)).unwrap();
        row.pool.as_str() == "new"
    });
    let share = new.count();
    assert!((900..=1_100).contains(&share), "{share} of 10,000");
}

/// Two rows that match the same requests and name the same pool are a mistake, because neither is
/// the better match.
#[test]
fn the_same_match_twice_in_a_pool_is_refused() {
    let faults = read(&routed(&[
        "old,desk,one,any,/q/,1,50%,0,800,yes,short,0,a.example,,,,,",
        "old,desk,two,any,/q/,1,50%,0,800,yes,short,0,A.EXAMPLE,,,,,",
    ]))
    .unwrap_err();
    assert_eq!(columns_of(&faults), [(3, "path_prefix")]);
    let faults = read("#limit header_bytes many\n").unwrap_err();
    assert_eq!(faults.faults[0].row, 1);
}

const ORGANISATIONS: &str = "#organisation acme rate=2.5 burst=10 priority=0 key=one key=two\n\
#organisation other key=three\n";

fn public(rows: &[&str]) -> String {
    format!("{HEADER},public\n{}\n", rows.join("\n"))
}

#[test]
fn organisations_are_read_and_printed_without_their_keys() {
    let text = format!("{ORGANISATIONS}{}", public(&[&format!("{ROW},yes")]));
    let plan = read(&text).unwrap();
    let acme = &plan.organisations[0];
    assert_eq!((acme.keys.len(), acme.priority.unwrap().0), (2, 0));
    assert_eq!(acme.quota.unwrap().rate.to_string(), "2.500");
    assert_eq!(plan.organisations[1].quota, None);
    assert!(plan.kinds[0].route.public);
    let printed = SheetPrinter::print(&plan);
    assert!(!printed.contains("=one") && !printed.contains("=three"), "{printed}");
    assert_eq!(read(&printed).unwrap(), plan);
}

// Guards against a caller that could be either of two organisations.
#[test]
fn faulty_organisations_are_refused_at_their_lines_without_their_keys() {
    for (line, allowed) in [
        ("#organisation acme key=s3cret", "occurs twice"),
        ("#organisation third key=two", "have a key in common"),
        ("#organisation third burst=3 key=s3cret", "a burst needs a rate"),
        ("#organisation third priority=10 key=s3cret", "priority=0 to 9"),
        ("#organisation third rate=x key=s3cret", "rate=R"),
        ("#organisation third key=", "key=TEXT"),
        ("#organisation third key_sha256=12", "key_sha256=HEX"),
        ("#organisation third s3cret", "key=TEXT"),
        ("#organisation th/ird key=s3cret", "a name"),
    ] {
        let text = format!("{ORGANISATIONS}{line}\n{}", sheet(&[ROW]));
        let faults = read(&text).unwrap_err();
        assert_eq!(columns_of(&faults), [(3, "sheet")], "{line}");
        assert!(faults.to_string().contains(allowed), "{line}: {faults}");
        assert!(!faults.to_string().contains("s3cret"), "{faults}");
    }
}
