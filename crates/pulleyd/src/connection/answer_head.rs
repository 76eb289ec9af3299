//! Checks the head of an upstream's answer before anything of the answer is used.

use http::Response;
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use thiserror::Error;

/// The result of checking a head.
type Result<T> = std::result::Result<T, HeadFault>;

/// The only transfer coding that the HTTP library decodes.
const CHUNKED: &[u8] = b"chunked";

/// Why the head of an answer does not tell where its body ends.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadFault {
    /// The transfer coding is not `chunked`, or not that alone.
    #[error("the transfer coding is not chunked alone")]
    TransferCoding,
    /// The head has a length beside a transfer coding.
    #[error("there is a length beside the transfer coding")]
    LengthBesideCoding,
}

/// Checks the head of an answer.
///
/// The HTTP library refuses heads that it cannot parse. It reads a body in a transfer coding that it
/// does not know until the connection ends, and it ignores a length beside a transfer coding. Callers
/// would get the bytes of the coding, or a part of the body, as a complete answer.
///
/// # Errors
/// What is malformed. Nothing of the answer may be used, and its connection must be closed.
pub(super) fn check_head<B>(response: &Response<B>) -> Result<()> {
    let headers = response.headers();
    let is_coded = check_coding(headers)?;
    if is_coded && headers.contains_key(CONTENT_LENGTH) {
        return Err(HeadFault::LengthBesideCoding);
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
