//! Parses upstreams' load reports.

use http::HeaderValue;
use pulley_core::request::LoadReport;

/// The longest report parsed, in bytes; a typical one has a few dozen.
const REPORT_LIMIT: usize = 1_024;

/// The highest utilization accepted; an upstream with a queue reports more than 1.
const UTILIZATION_LIMIT: f32 = 100.0;

/// Parses an `endpoint-load-metrics` header in its text form, as gRFC A51 describes it: `TEXT
/// cpu_utilization=0.3, application_utilization=0.4, named_metrics.in_flight=2`. Two more names are
/// supported: `named_metrics.waiting` and `named_metrics.slowdown`.
///
/// As the gRFC specifies, the application's own utilization takes precedence over that of the
/// processor. Malformed reports give `None`: a report is a hint, and a wrong one must not fail the
/// request whose response carries it.
#[must_use]
pub fn read_load_report(value: &HeaderValue) -> Option<LoadReport> {
    let text = value.to_str().ok().filter(|text| text.len() <= REPORT_LIMIT)?;
    let pairs = text.trim_start().strip_prefix("TEXT")?;
    if !pairs.starts_with([' ', '\t']) {
        return None;
    }
    let mut cpu = None;
    let mut application = None;
    let mut in_flight = None;
    let mut waiting = None;
    let mut slowdown = None;
    for pair in pairs.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, number) = pair.split_once('=')?;
        let number: f32 = number.trim().parse().ok()?;
        if !number.is_finite() || number < 0.0 {
            return None;
        }
        match name.trim() {
            "cpu_utilization" => cpu = Some(number),
            "application_utilization" => application = Some(number),
            "named_metrics.in_flight" => in_flight = Some(truncate(number)),
            "named_metrics.waiting" => waiting = Some(truncate(number)),
            "named_metrics.slowdown" => slowdown = Some(number),
            _ => {}
        }
    }
    let utilization = application.filter(|used| *used > 0.0).or(cpu).or(application)?;
    let report = LoadReport { utilization, in_flight, waiting, slowdown, cold_left: None };
    (utilization <= UTILIZATION_LIMIT).then_some(report)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "finite and not negative; a cast of a larger float saturates"
)]
fn truncate(number: f32) -> u32 {
    number as u32
}
