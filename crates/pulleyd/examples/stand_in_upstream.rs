//! A stand-in upstream for a local deployment. Runs until it is killed.

#[expect(dead_code, reason = "the tests use functions that this program does not")]
#[path = "../tests/sessions/stand_in_upstream.rs"]
mod stand_in_upstream;

use std::error::Error;
use std::net::IpAddr;
use std::time::Duration;

use stand_in_upstream::{StandInRole, StandInUpstream};

const USAGE: &str = "usage: stand_in_upstream ID POOL ZONE SLOTS SERVICE_MS HOST:PORT,…";

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [id, pool, zone, slots, service_ms, hosts] = &args[..] else { return Err(USAGE.into()) };
    let role = StandInRole {
        id: id.clone(),
        pool: pool.clone(),
        zone: zone.clone(),
        slots: slots.parse()?,
        service_time: Duration::from_millis(service_ms.parse()?),
        address: IpAddr::from([127, 0, 0, 1]),
        hosts: hosts.split(',').map(str::parse).collect::<Result<_, _>>()?,
    };
    let upstream = StandInUpstream::start(role).await?;
    std::future::pending::<()>().await;
    drop(upstream);
    Ok(())
}
