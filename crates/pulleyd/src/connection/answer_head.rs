//! Checks the head of an upstream's answer before anything of the answer is used.

use std::ops::RangeInclusive;

use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body::Body;
use thiserror::Error;

use crate::request::connection_options;

/// The result of checking a head.
type Result<T> = std::result::Result<T, HeadFault>;

/// The statuses of final answers. Lower ones precede another answer or end HTTP on the connection, and
/// higher ones are not defined.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that the HTTP library decodes.
const CHUNKED: &[u8] = b"chunked";

/// The field, and the option of a connection, by which an upstream keeps a connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The option of a connection that ends with the answer.
const CLOSE: &str = "close";

/// Separates the values of a list in one field.
const LIST_SEPARATOR: u8 = b',';

/// Why the head of an answer does not tell what the answer is or where its body ends.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadFault {
    /// The status is none of a final answer.
    #[error("the status {0} is none of a final answer")]
    Status(u16),
    /// The transfer coding is not `chunked`, or not that alone.
    #[error("the transfer coding is not chunked alone")]
    TransferCoding,
    /// The length is no number, or is told several times and differs.
    #[error("the length is not one number")]
    Length,
    /// The head has a length beside a transfer coding.
    #[error("there is a length beside the transfer coding")]
    LengthBesideCoding,
    /// The body would end with a connection that the head says stays open.
    #[error("there is no length and the connection stays open")]
    NoLength,
    /// The head announces a body, and an answer with its status has none.
    #[error("a body is announced that the status does not allow")]
    ForbiddenBody,
}

/// Checks the head of an answer. A length that is repeated is replaced by one.
///
/// The HTTP library refuses heads that it cannot parse. It reads a body in a transfer coding that it
/// does not know until the connection ends, and it ignores a length beside a transfer coding. Callers
/// would get the bytes of the coding, or a part of the body, as a complete answer. It does not check
/// the length of an answer without a body, and callers may read a repeated length in another way.
///
/// # Errors
/// What is malformed. Nothing of the answer may be used, and its connection must be closed.
pub(super) fn check_head<B: Body>(response: &mut Response<B>) -> Result<()> {
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(HeadFault::Status(status.as_u16()));
    }
    let has_body = !response.body().is_end_stream();
    let headers = response.headers_mut();
    let is_coded = check_coding(headers)?;
    let length = read_length(headers)?;
    if is_coded && length.is_some() {
        return Err(HeadFault::LengthBesideCoding);
    }
    if status == StatusCode::NO_CONTENT && (is_coded || length.is_some_and(|length| length > 0)) {
        return Err(HeadFault::ForbiddenBody);
    }
    if has_body && !is_coded && length.is_none() && stays_open(headers) {
        return Err(HeadFault::NoLength);
    }
    if let Some(length) = length
        && is_repeated(headers)
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    Ok(())
}

/// Returns whether the body is in chunks.
fn check_coding(headers: &HeaderMap) -> Result<bool> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
    if !is_chunked || codings.next().is_some() {
        return Err(HeadFault::TransferCoding);
    }
    Ok(true)
}

/// Reads the length of the body. A length may be repeated, in several fields or as a list.
fn read_length(headers: &HeaderMap) -> Result<Option<u64>> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for number in value.as_bytes().split(|byte| *byte == LIST_SEPARATOR) {
            let number = parse_number(number.trim_ascii()).ok_or(HeadFault::Length)?;
            if *length.get_or_insert(number) != number {
                return Err(HeadFault::Length);
            }
        }
    }
    Ok(length)
}

fn is_repeated(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let is_list = values.next().is_some_and(|value| value.as_bytes().contains(&LIST_SEPARATOR));
    is_list || values.next().is_some()
}

/// Whether the head says that its connection stays open after the answer. A field whose name is
/// misspelt has then told the length, as a body without one ends with its connection.
fn stays_open(headers: &HeaderMap) -> bool {
    let options = connection_options(headers);
    let is_kept = headers.contains_key(KEEP_ALIVE) || options.contains(&KEEP_ALIVE);
    is_kept && !options.iter().any(|option| option.as_str() == CLOSE)
}

/// Parses a number of digits only. The parser of the standard library also takes a sign.
fn parse_number(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}
