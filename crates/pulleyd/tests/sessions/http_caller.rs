//! A caller that sends one request over a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout of a call; reached only when there is a fault.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The answer that a caller gets.
#[derive(Clone, Debug)]
pub(crate) struct CallerAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The headers, with names in lower case.
    pub(crate) headers: Vec<(String, String)>,
    /// The body.
    pub(crate) body: String,
}

impl CallerAnswer {
    /// Returns the cause, if the answer is from the load balancer itself.
    pub(crate) fn cause(&self) -> Option<&str> {
        let header = self.headers.iter().find(|(name, _)| name == "jacinthpulley-cause");
        header.map(|(_, cause)| cause.as_str())
    }
}

/// Sends a request and reads the complete answer.
///
/// # Errors
/// If the connection fails, or the answer is truncated or times out.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<CallerAnswer, Box<dyn std::error::Error + Send + Sync>> {
    let mut request = Request::builder().method(method).uri(path).header("host", "gateway");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        let headers = parts.headers.iter().map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        });
        Ok(CallerAnswer {
            status: parts.status.as_u16(),
            headers: headers.collect(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await?
}
