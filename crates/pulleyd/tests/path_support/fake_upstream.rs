//! An upstream made of raw connections, so that it can fail at any byte.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// The numbers of connections opened and ended at a fake upstream, and the requests received.
#[derive(Default)]
pub(crate) struct UpstreamLog {
    pub(crate) connections: AtomicUsize,
    pub(crate) ended: AtomicUsize,
    pub(crate) requests: Mutex<Vec<String>>,
}

#[derive(Clone)]
pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) log: Arc<UpstreamLog>,
}

impl FakeUpstream {
    /// Passes each connection, with its number, to a script.
    pub(crate) async fn scripted<F, W>(script: F) -> Self
    where
        F: Fn(TcpStream, usize, Arc<UpstreamLog>) -> W + Send + Sync + 'static,
        W: Future<Output = Option<()>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let log = Arc::new(UpstreamLog::default());
        let (seen, script) = (Arc::clone(&log), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = seen.connections.fetch_add(1, Ordering::SeqCst);
                let (log, script) = (Arc::clone(&seen), Arc::clone(&script));
                tokio::spawn(async move {
                    script(stream, number, Arc::clone(&log)).await;
                    log.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, log }
    }

    /// Answers each request with raw bytes.
    pub(crate) async fn answering(
        answer: impl Fn(&str) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        let answer = Arc::new(answer);
        Self::scripted(move |mut stream, _, log| {
            let answer = Arc::clone(&answer);
            async move {
                loop {
                    let request = read_request(&mut stream, &log).await?;
                    stream.write_all(&answer(&request)).await.ok()?;
                }
            }
        })
        .await
    }

    /// Reads a request, writes some bytes and resets the connection.
    pub(crate) async fn breaking_after(bytes: &'static str) -> Self {
        Self::scripted(move |mut stream, _, log| async move {
            read_request(&mut stream, &log).await?;
            stream.write_all(bytes.as_bytes()).await.ok()?;
            stream.set_zero_linger().ok()
        })
        .await
    }

    /// Breaks the one connection over which a request arrives that contains a mark. Other requests take
    /// a moment.
    pub(crate) async fn breaking_on(mark: &'static str) -> Self {
        Self::scripted(move |mut stream, _, log| async move {
            while !read_request(&mut stream, &log).await?.contains(mark) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.write_all(&ok_answer("sound")).await.ok()?;
            }
            stream.set_zero_linger().ok()
        })
        .await
    }

    /// Breaks the one connection over which a request arrives that contains a mark, and says nothing more
    /// over all others. Other requests take a moment.
    pub(crate) async fn falling_silent_on(mark: &'static str) -> Self {
        let is_silent = Arc::new(AtomicBool::new(false));
        Self::scripted(move |mut stream, _, log| {
            let is_silent = Arc::clone(&is_silent);
            async move {
                while !read_request(&mut stream, &log).await?.contains(mark) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    if is_silent.load(Ordering::SeqCst) {
                        return std::future::pending().await;
                    }
                    stream.write_all(&ok_answer("sound")).await.ok()?;
                }
                is_silent.store(true, Ordering::SeqCst);
                stream.set_zero_linger().ok()
            }
        })
        .await
    }

    /// Ends when it gets a request that contains a mark: it closes all connections and its listener.
    /// It writes `bytes` of an answer first. Other requests take a moment.
    pub(crate) async fn ending_on(mark: &'static str, bytes: &'static str) -> Self {
        Self::ending_after(mark, bytes, Duration::ZERO).await
    }

    /// The same, but its listener closes later than its connections.
    pub(crate) async fn ending_after(
        mark: &'static str,
        bytes: &'static str,
        listener_delay: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let log = Arc::new(UpstreamLog::default());
        let (seen, running) = (Arc::clone(&log), watch::Sender::new(true));
        tokio::spawn(async move {
            let mut stopped = running.subscribe();
            loop {
                let (mut stream, _) = tokio::select! {
                    biased;
                    () = wait_for_end(&mut stopped) => {
                        return tokio::time::sleep(listener_delay).await;
                    }
                    accepted = listener.accept() => accepted.expect("it listens"),
                };
                let (log, running) = (Arc::clone(&seen), running.clone());
                log.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let mut stopped = running.subscribe();
                    tokio::select! {
                        biased;
                        () = wait_for_end(&mut stopped) => {
                            let _ = stream.set_zero_linger();
                        }
                        _ = answer_until_marked(&mut stream, &log, (mark, bytes)) => {
                            running.send_replace(false);
                        }
                    }
                });
            }
        });
        Self { address, log }
    }

    /// Answers every request with `200` and a text.
    pub(crate) async fn healthy(text: &'static str) -> Self {
        Self::answering(move |_| ok_answer(text)).await
    }

    /// Reads requests and never answers.
    pub(crate) async fn silent() -> Self {
        Self::scripted(|mut stream, _, log| async move {
            loop {
                read_request(&mut stream, &log).await?;
            }
        })
        .await
    }

    pub(crate) fn runs(&self) -> usize {
        self.log.requests.lock().len()
    }

    pub(crate) fn connections(&self) -> usize {
        self.log.connections.load(Ordering::SeqCst)
    }

    pub(crate) fn ended(&self) -> usize {
        self.log.ended.load(Ordering::SeqCst)
    }

    pub(crate) fn last_request(&self) -> String {
        self.log.requests.lock().last().cloned().unwrap_or_default()
    }
}

/// Returns an address that refuses connections. Its socket is bound and never listens, and it stays
/// open as long as the test process: a port released earlier could be reused by another test's
/// upstream.
pub(crate) async fn refusing_upstream() -> FakeUpstream {
    let mut upstream = FakeUpstream::healthy("never").await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    upstream.address = socket.local_addr().expect("bound");
    Box::leak(Box::new(socket));
    upstream
}

async fn wait_for_end(running: &mut watch::Receiver<bool>) {
    let _ = running.wait_for(|running| !running).await;
}

/// Answers requests until one contains the mark, of which the head or a part of the body is enough.
/// Pends once the connection has ended without it.
async fn answer_until_marked(
    stream: &mut TcpStream,
    log: &UpstreamLog,
    (mark, bytes): (&str, &str),
) {
    let mut text = String::new();
    let mut chunk = [0_u8; 16 * 1024];
    while let Ok(read @ 1..) = stream.read(&mut chunk).await {
        text.push_str(&String::from_utf8_lossy(&chunk[..read]));
        if text.contains(mark) {
            log.requests.lock().push(text);
            let _ = stream.write_all(bytes.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
            return;
        }
        if is_complete(&text) {
            log.requests.lock().push(std::mem::take(&mut text));
            tokio::time::sleep(Duration::from_millis(30)).await;
            let _ = stream.write_all(&ok_answer("done")).await;
        }
    }
    std::future::pending::<()>().await;
}

pub(crate) fn ok_answer(text: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes()
}

/// Reads one complete request and records it; `None` once the connection has ended.
pub(crate) async fn read_request(stream: &mut TcpStream, log: &UpstreamLog) -> Option<String> {
    let mut text = String::new();
    loop {
        if is_complete(&text) {
            log.requests.lock().push(text.clone());
            return Some(text);
        }
        let mut chunk = [0_u8; 16 * 1024];
        let read = stream.read(&mut chunk).await.ok().filter(|read| *read > 0)?;
        text.push_str(&String::from_utf8_lossy(&chunk[..read]));
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.starts_with("0\r\n") || body.contains("\r\n0\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.and_then(|length| length.parse().ok()).unwrap_or(0)
}
