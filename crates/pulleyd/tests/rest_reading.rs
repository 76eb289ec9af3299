//! The rest that a response asks for, in all spellings that arrive.

use std::time::{Duration, SystemTime};

use http::StatusCode;
use http::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};
use pulleyd::connection::RestReading;

const NOW: &str = "Fri, 04 Dec 2026 10:00:00 GMT";

fn read(status: u16, values: &[&str]) -> RestReading {
    let mut headers = HeaderMap::new();
    headers.insert(DATE, HeaderValue::from_static(NOW));
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_str(value).expect("a value"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    RestReading::read(status, &headers, SystemTime::UNIX_EPOCH)
}

fn seconds(value: f64) -> RestReading {
    RestReading::Asked(Duration::from_secs_f64(value))
}

// A rest of more than a minute was cut to a minute, and dates were not read at all.
#[test]
fn a_rest_is_read_whole_in_every_spelling() {
    let cases: [(&[&str], RestReading); 14] = [
        (&["3"], seconds(3.0)),
        (&[" 0.25 "], seconds(0.25)),
        (&["90"], seconds(90.0)),
        (&["86400"], seconds(86_400.0)),
        (&["0"], seconds(0.0)),
        (&["-5"], seconds(0.0)),
        (&["99999999999999999999999"], RestReading::Asked(Duration::MAX)),
        (&["1", "7", "soon"], seconds(7.0)),
        (&["Fri, 04 Dec 2026 10:02:00 GMT"], seconds(120.0)),
        (&["Friday, 04-Dec-26 10:00:01 GMT"], seconds(1.0)),
        (&["Fri, 04 Dec 2026 09:00:00 GMT"], seconds(0.0)),
        (&["soon"], RestReading::Unreadable),
        (&["inf"], RestReading::Unreadable),
        (&[""], RestReading::Unreadable),
    ];
    for (values, expected) in cases {
        assert_eq!(read(503, values), expected, "{values:?}");
    }
}

#[test]
fn only_an_answer_that_turns_a_request_away_asks_for_rest() {
    assert_eq!(read(429, &["3"]), seconds(3.0));
    for status in [200, 301, 421, 500, 504] {
        assert_eq!(read(status, &["3"]), RestReading::Absent, "{status}");
    }
    assert_eq!(read(503, &[]), RestReading::Absent);
}

#[test]
fn without_a_date_of_the_response_the_own_clock_counts() {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, HeaderValue::from_static(NOW));
    let now = httpdate::parse_http_date(NOW).expect("a date") - Duration::from_secs(4);
    let reading = RestReading::read(StatusCode::SERVICE_UNAVAILABLE, &headers, now);
    assert_eq!(reading, seconds(4.0));
}
