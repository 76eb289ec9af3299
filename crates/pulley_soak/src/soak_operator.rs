//! An operator that changes the sheet, and checks that each change is in force on all entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::request_history::RequestHistory;
use crate::soak_caller::{CallerLink, next_request_id};
use crate::soak_organisations::{
    REVOKE_TIMEOUT, ROLLED, STEADY, key_of, organisation_lines, rolled_key,
};

/// The installation's key. Its hosts listen only on loopback, and only during the soak run.
pub(crate) const KEY: &str = "the-key-of-a-soak-on-loopback-0123456789";

/// Time within which an accepted version must be in force on an entry, unless the entry is not
/// ready.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);

/// How often each entry is checked for the version that it serves.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Timeout for an answer to a change, and the delay after which the change is then sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// The versions sent and accepted so far.
#[derive(Debug, Default)]
pub(crate) struct VersionState {
    /// The newest version sent, and the newest accepted one with the time of its answer.
    state: Mutex<(u64, Option<(u64, Instant)>)>,
    /// When each version was accepted.
    acceptances: Mutex<Vec<(u64, Instant)>>,
    /// Number of extra changes requested, in addition to the periodic ones.
    pub(crate) extra_changes: AtomicU32,
}

impl VersionState {
    fn sent(&self) -> u64 {
        self.state.lock().0
    }

    fn record_acceptance(&self, version: u64) {
        let now = Instant::now();
        self.state.lock().1 = Some((version, now));
        self.acceptances.lock().push((version, now));
    }

    /// Returns the newest version whose key must no longer work on any host.
    fn newest_revoked(&self) -> Option<u64> {
        let acceptances = self.acceptances.lock();
        let mut overdue = acceptances.iter().rev().filter(|(_, at)| at.elapsed() > REVOKE_TIMEOUT);
        overdue.next().map(|(version, _)| version - 1).filter(|version| *version > 0)
    }

    /// Returns the newest accepted version and the time of its acceptance.
    pub(crate) fn accepted(&self) -> Option<(u64, Instant)> {
        self.state.lock().1
    }
}

/// Returns the sheet of a version. All versions have the same pool, and each has a path that no
/// other has.
fn sheet(version: u64) -> String {
    let organisations = organisation_lines(version);
    format!(
        "{organisations}pool,service,kind,method,path_prefix,priority,share,reserved_slots,deadline_ms,idempotent,length,probes_per_s\n\
         shop,all,order,POST,/order,0,30%,0,2000,no,short,0.5\n\
         shop,all,read,GET,/read,1,30%,0,2000,yes,short,0.5\n\
         shop,all,file,GET,/file,2,20%,0,3000,yes,long,0.5\n\
         shop,all,mark{version},GET,/mark-{version}/,3,20%,0,1000,yes,short,0.5\n"
    )
}

/// Sends changes one after another. Each is sent again through the next host until it is accepted.
pub(crate) async fn apply_changes(
    operators: Arc<[SocketAddr]>,
    versions: Arc<VersionState>,
    history: Arc<RequestHistory>,
    stopped: Arc<AtomicBool>,
) {
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    for version in 1_u64.. {
        versions.state.lock().0 = version;
        let mut hosts = operators.iter().cycle().skip(usize::try_from(version).unwrap_or(0));
        while !stopped.load(Ordering::Relaxed) {
            let Some(host) = hosts.next() else { return };
            let limit = tokio::time::timeout(ANSWER_TIMEOUT, apply(&client, *host, version));
            let answer = limit.await.ok().and_then(Result::ok).unwrap_or(Value::Null);
            if let Some(got) = answer.pointer("/accepted/version").and_then(Value::as_u64) {
                if got != version {
                    history
                        .record_finding("one change, one version", format!("{version} is {got}"));
                }
                versions.record_acceptance(version);
                break;
            }
            if answer.get("refused").is_some() {
                let observed = format!("version {version}: {answer}");
                history.record_finding("a resent change is never refused", observed);
                return;
            }
            tokio::time::sleep(RESEND_DELAY).await;
        }
        let next = Instant::now() + Duration::from_secs(2);
        while Instant::now() < next && !stopped.load(Ordering::Relaxed) {
            let take = |extra_changes: u32| extra_changes.checked_sub(1);
            if versions
                .extra_changes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok()
            {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if stopped.load(Ordering::Relaxed) {
            return;
        }
    }
}

async fn apply(
    client: &Client<HttpConnector, Full<Bytes>>,
    host: SocketAddr,
    version: u64,
) -> Result<Value> {
    let body = json!({
        "change_id": format!("change-{version}"), "actor": "soak", "expect": version - 1,
        "sheet": sheet(version),
    });
    let request = Request::post(format!("http://{host}/v1/sheet"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let answer = client.request(request).await?.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&answer)?)
}

/// Checks repeatedly which version one entry serves.
pub(crate) async fn monitor_entry(
    (entry, address): (usize, SocketAddr),
    versions: Arc<VersionState>,
    history: Arc<RequestHistory>,
    stopped: Arc<AtomicBool>,
) {
    // The newest version served on the current connection. A new connection may reach a new
    // process, so it starts at 0.
    let mut observed = 0;
    let mut link: Option<CallerLink> = None;
    while !stopped.load(Ordering::Relaxed) {
        tokio::time::sleep(CHECK_PERIOD).await;
        let Some((version, since)) = versions.accepted() else { continue };
        if link.is_none() {
            observed = 0;
            link = CallerLink::open(address).await.ok();
        }
        let Some(open) = &mut link else { continue };
        let asked = Instant::now();
        let Ok(is_served) = serves(open, version, entry, &history).await else {
            link = None;
            continue;
        };
        let is_due = asked > since + IN_FORCE_TIMEOUT;
        let newest_sent = versions.sent();
        let is_undisturbed = !history.was_disturbed(entry, since, Instant::now());
        match is_served {
            Some(true) => observed = observed.max(version),
            Some(false) if newest_sent == version && is_due && is_undisturbed => {
                let late = since.elapsed();
                history
                    .record_finding("in force", format!("{version} not at {entry} after {late:?}"));
            }
            Some(false) if newest_sent == version && observed >= version => {
                history.record_finding("never back", format!("entry {entry} forgot {version}"));
            }
            _ => {}
        }
        if let Some(revoked) = versions.newest_revoked() {
            let key = rolled_key(revoked);
            let answer = send_as(open, "/read", (entry, &history), (ROLLED, &key));
            if answer.await.is_ok_and(|status| status == 200) {
                let observed = format!("entry {entry} took the key of version {revoked}");
                history.record_finding("a key that was taken away", observed);
            }
        }
        if version > 1 && observed >= version {
            let before = serves(open, version - 1, entry, &history).await;
            if matches!(before, Ok(Some(true))) {
                let observed = format!("entry {entry} serves {} after {version}", version - 1);
                history.record_finding("never back", observed);
            }
        }
    }
}

/// Whether an entry serves a version's path, or `None` if its answer does not show it.
async fn serves(
    link: &mut CallerLink,
    version: u64,
    entry: usize,
    history: &RequestHistory,
) -> Result<Option<bool>> {
    let path = format!("/mark-{version}/");
    let status = send_as(link, &path, (entry, history), (STEADY, &key_of(STEADY))).await?;
    Ok(match status {
        404 => Some(false),
        200 => Some(true),
        _ => None,
    })
}

/// Sends a request with a key that belongs, or belonged, to an organisation. Returns the status.
async fn send_as(
    link: &mut CallerLink,
    path: &str,
    (entry, history): (usize, &RequestHistory),
    (organisation, key): (&str, &str),
) -> Result<u16> {
    let id = next_request_id();
    history.record_sent_by(&id, entry, true, organisation);
    Ok(link.send("GET", path, &id, key).await?.status)
}
