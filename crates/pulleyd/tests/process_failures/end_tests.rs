//! Requests under which upstreams end, before real processes.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::KOLKHI;
use crate::process_support::{EndingUpstream, HttpClient, TestCluster, wait_until};

const HOSTS: [usize; 3] = [0, 1, 2];

/// The pause of a caller before it repeats a request through another host.
const REPEAT_PAUSE: Duration = Duration::from_millis(30);

/// A pool of a cluster of three hosts.
struct EndingPool {
    upstreams: Vec<EndingUpstream>,
    clients: Vec<HttpClient>,
    cluster: TestCluster,
}

impl EndingPool {
    fn start(upstreams: usize) -> Self {
        let cluster = TestCluster::start(3, 0);
        let addresses = cluster.announce_addresses();
        let start =
            |number| EndingUpstream::start(&format!("cover-{number}"), "cover", addresses.clone());
        let upstreams: Vec<EndingUpstream> = (0..upstreams).map(start).collect();
        cluster.apply_until_answered(&HOSTS, "first", 0, KOLKHI);
        cluster.wait_for_version(&HOSTS, 1);
        let clients = HOSTS.iter().map(|host| cluster.caller(*host)).collect();
        let pool = Self { upstreams, clients, cluster };
        let all_serve = || {
            HOSTS.iter().all(|host| pool.call("warm", *host).is_some())
                && pool.upstreams.iter().all(|upstream| upstream.arrivals("warm") > 0)
        };
        assert!(wait_until(Duration::from_secs(30), all_serve), "all upstreams serve");
        pool
    }

    /// Sends a request, and repeats it through the other hosts until it is served. Returns the
    /// number of the attempt that was.
    fn call(&self, content: &str, first_host: usize) -> Option<usize> {
        call(&self.clients, content, first_host)
    }

    fn arrivals(&self, mark: &str) -> usize {
        self.upstreams.iter().map(|upstream| upstream.arrivals(mark)).sum()
    }

    fn ends(&self) -> u64 {
        self.upstreams.iter().map(EndingUpstream::ends).sum()
    }
}

fn call(clients: &[HttpClient], content: &str, first_host: usize) -> Option<usize> {
    (0..clients.len()).find(|attempt| {
        if *attempt > 0 {
            thread::sleep(REPEAT_PAUSE);
        }
        let client = &clients[(first_host + attempt) % clients.len()];
        let answer = client.get(&format!("/cover/check?content={content}"));
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

// Each host counts the attempts at the request that it holds, and the caller passes between hosts.
#[test]
fn a_request_that_ends_its_upstream_reaches_three_over_all_hosts() {
    let pool = EndingPool::start(10);
    assert_eq!(pool.call("ends-one", 0), None);
    let arrivals = pool.arrivals("ends-one");
    assert!(arrivals <= 3, "reached upstreams {arrivals} times; {} ended", pool.ends());
    for caller in 0..6 {
        assert_eq!(pool.call("ends-one", caller), None);
    }
    let arrivals = pool.arrivals("ends-one");
    assert!(arrivals <= 3, "reached upstreams {arrivals} times after more callers");
    assert!((0..3).all(|host| pool.call("sound", host).is_some()), "other content is served");
    drop(pool.cluster);
}

// A mended version of the upstreams is out, and the content would be refused for another minute.
#[test]
fn an_operator_allows_a_quarantined_content_again() {
    let pool = EndingPool::start(8);
    assert_eq!(pool.call("ends-one", 0), None);
    let contents = |host: usize| {
        let answer = pool.cluster.operator(host).get("/v1/contents").expect("an answer").json();
        answer["contents"].as_array().expect("a list").clone()
    };
    let knows_all_ends = |host: usize| {
        let listed = contents(host);
        listed.len() == 1 && listed[0]["ends"].as_array().is_some_and(|ends| ends.len() == 3)
    };
    let is_known = wait_until(Duration::from_secs(10), || HOSTS.into_iter().all(knows_all_ends));
    assert!(is_known, "{:?}", contents(2));
    let digest = contents(1)[0]["digest"].as_str().expect("a digest").to_owned();
    let order = json!({ "actor": "tester", "digest": digest }).to_string();
    let cleared = pool.cluster.operator(1).send("POST", "/v1/contents/clear", order.as_bytes());
    assert_eq!(cleared.expect("an answer").json(), json!({ "cleared": 1 }));
    let are_cleared = || HOSTS.into_iter().all(|host| contents(host).is_empty());
    assert!(wait_until(Duration::from_secs(10), are_cleared), "at all hosts");
    let before = pool.arrivals("ends-one");
    assert_eq!(pool.call("ends-one", 0), None);
    assert!(pool.arrivals("ends-one") > before, "the content is sent again");
}

// A crash of an upstream meets all that runs there, and popular content runs everywhere.
#[test]
fn popular_content_is_served_while_upstreams_crash() {
    let pool = Arc::new(EndingPool::start(10));
    let (calls, end) = (20, Instant::now() + Duration::from_millis(2_400));
    let callers: Vec<_> = (0..calls)
        .map(|caller| {
            let clients = pool.clients.clone();
            thread::spawn(move || {
                let mut unserved = 0;
                while Instant::now() < end {
                    unserved += usize::from(call(&clients, "popular", caller).is_none());
                    thread::sleep(Duration::from_millis(100));
                }
                unserved
            })
        })
        .collect();
    for upstream in pool.upstreams.iter().take(6) {
        upstream.crash();
        thread::sleep(Duration::from_millis(300));
    }
    let unserved: usize = callers.into_iter().map(|caller| caller.join().expect("no panic")).sum();
    assert_eq!(unserved, 0);
    assert_eq!(pool.ends(), 6);
}
