//! Measures the memory of an idle connection of a caller.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use super::thread_time::resident_bytes;

const REQUEST: &[u8] = b"GET /cover/lookup HTTP/1.1\r\nHost: bench\r\n\r\n";

/// The time in which the memory settles before it is read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Opens connections, each of which has received one answer, and reads the resident memory before
/// and after. Both ends are in this process; the callers' ends are bare sockets.
pub(super) fn measure(callers: &Runtime, address: SocketAddr, count: usize) -> Result<()> {
    if count == 0 {
        return Ok(());
    }
    callers.block_on(async {
        let before = resident_bytes()?;
        let mut streams = Vec::with_capacity(count);
        for _ in 0..count {
            streams.push(answered_connection(address).await?);
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let after = resident_bytes()?;
        let connection_bytes = after.saturating_sub(before) / count as u64;
        println!(
            "scenario=path-idle connections={count} resident_before={before} \
             resident_after={after} bytes_per_connection={connection_bytes}"
        );
        Ok(())
    })
}

async fn answered_connection(address: SocketAddr) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(REQUEST).await?;
    let mut answer = [0_u8; 1024];
    let mut length = 0;
    while !answer[..length].ends_with(&[b'a'; 256]) {
        let read = stream.read(&mut answer[length..]).await?;
        ensure!(read > 0, "the connection was closed before the answer was complete");
        length += read;
    }
    Ok(stream)
}
