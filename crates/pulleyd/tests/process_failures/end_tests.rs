//! Requests under which upstreams end, before real processes.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::KOLKHI;
use crate::process_support::{EndWay, EndingUpstream, HttpClient, TestCluster, wait_until};

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
        Self::start_with(EndWay::Refuses, upstreams, &["cover"], KOLKHI)
    }

    /// Starts that many upstreams in each pool, which end in a way.
    fn start_with(way: EndWay, upstreams: usize, pools: &[&str], sheet: &str) -> Self {
        let cluster = TestCluster::start(3, 0);
        let addresses = cluster.announce_addresses();
        let start = |pool: &str, number| {
            let id = format!("{pool}-{number}");
            EndingUpstream::start(way, &id, pool, addresses.clone())
        };
        let starts = pools.iter().flat_map(|pool| (0..upstreams).map(move |n| start(pool, n)));
        let upstreams: Vec<EndingUpstream> = starts.collect();
        cluster.apply_until_answered(&HOSTS, "first", 0, sheet);
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

    /// Sends a request to each host in turn, as a caller with two repeats does, and leaves each time
    /// after a while.
    fn call_and_leave(&self, content: &str, first_host: usize) {
        for attempt in 0..3 {
            let host = (first_host + attempt) % HOSTS.len();
            let mut stream = TcpStream::connect(self.clients[host].address()).expect("it listens");
            let head = format!("GET /cover/check?content={content} HTTP/1.1\r\nhost: test\r\n\r\n");
            stream.write_all(head.as_bytes()).expect("it reads");
            thread::sleep(Duration::from_millis(60));
            drop(stream);
            thread::sleep(REPEAT_PAUSE);
        }
    }

    /// Has one caller send a content, and others in the seconds after it. Returns how often it has
    /// reached upstreams by the one caller, and in all.
    fn arrivals_of(&self, send: impl Fn(usize)) -> (usize, usize) {
        send(0);
        let of_one = self.arrivals("ends-one");
        thread::sleep(Duration::from_millis(2_000));
        for caller in 1..6 {
            send(caller);
            thread::sleep(Duration::from_millis(300));
        }
        (of_one, self.arrivals("ends-one"))
    }

    /// Returns what the hosts have logged of runs and contents, in order.
    fn content_log(&self) -> String {
        let is_told = |line: &&str| {
            let events =
                ["event=run-", "event=content", "event=attempt-failed", "event=upstream-check"];
            events.iter().any(|event| line.contains(event))
        };
        let logs = self.cluster.hosts.iter().enumerate().map(|(host, daemon)| {
            let log = daemon.log();
            let lines = log.lines().filter(is_told).map(|line| format!("{line} host={host}"));
            lines.collect::<Vec<_>>()
        });
        let mut lines: Vec<String> = logs.flatten().collect();
        lines.sort();
        lines.join("\n")
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

// No connection is refused where a supervisor keeps the listening socket.
#[test]
fn a_content_whose_upstreams_are_back_at_once_reaches_three_over_all_hosts() {
    for way in [EndWay::KeepsListening, EndWay::KeepsListeningWithNewId] {
        let pool = EndingPool::start_with(way, 10, &["cover"], KOLKHI);
        let arrivals = pool.arrivals_of(|caller| assert_eq!(pool.call("ends-one", caller), None));
        assert_eq!(arrivals, (3, 3), "{way:?}: arrivals of one caller, and of all");
    }
}

// A machine without power breaks no connection, and its requests end at their deadline.
#[test]
fn a_content_whose_upstreams_fall_silent_reaches_three_over_all_hosts() {
    let pool = EndingPool::start_with(EndWay::Silent, 10, &["cover"], KOLKHI);
    let arrivals = pool.arrivals_of(|caller| assert_eq!(pool.call("ends-one", caller), None));
    let log = pool.content_log();
    assert_eq!(arrivals, (3, 3), "arrivals of one caller, and of all\n{log}");
}

// Nobody waits for the answer any more when the upstream ends.
#[test]
fn a_content_whose_callers_leave_reaches_three_over_all_hosts() {
    let pool = EndingPool::start_with(EndWay::RefusesLate, 10, &["cover"], KOLKHI);
    let (of_one, all) = pool.arrivals_of(|caller| pool.call_and_leave("ends-one", caller));
    assert!(of_one <= 3, "{of_one} arrivals of one caller");
    assert!(all <= 5, "{all} arrivals of all, two after the third at most");
}

// A body of 100 KiB is longer than what a host keeps, and its upstream ends before it has read it.
#[test]
fn a_content_with_a_long_body_reaches_three_over_all_hosts() {
    let pool = EndingPool::start(10);
    let body = vec![b'x'; 100 << 10];
    let mut other = body.clone();
    other[body.len() - 1] = b'y';
    let post =
        |path: &str, host: usize, body: &[u8]| pool.clients[host % 3].send("POST", path, body);
    let arrivals = pool.arrivals_of(|caller| {
        for attempt in 0..3 {
            let _ = post("/cover/quote?content=ends-one", caller + attempt, &body);
            thread::sleep(REPEAT_PAUSE);
        }
    });
    assert_eq!(arrivals, (3, 3), "arrivals of one caller, and of all");
    let _ = post("/cover/quote?content=ends-one", 0, &other);
    assert!(pool.arrivals("ends-one") > 3, "a body that differs in its last byte is sent");
}

// Two pools of one row count the ends under the same content together.
#[test]
fn a_content_of_a_split_row_reaches_three_over_all_pools() {
    let sheet = "pool,service,kind,method,path_prefix,priority,share,reserved_slots,deadline_ms,\
                 idempotent,length,probes_per_s,weight\n\
                 cover,desks,check,GET,/cover/check,1,50%,2,400,yes,short,1,1\n\
                 canary,desks,check-canary,GET,/cover/check,1,50%,2,400,yes,short,1,1\n";
    let pool = EndingPool::start_with(EndWay::Refuses, 6, &["cover", "canary"], sheet);
    let arrivals = pool.arrivals_of(|caller| assert_eq!(pool.call("ends-one", caller), None));
    // A pool leaves one of the three runs to another that has had none.
    assert!(matches!(arrivals, (2..=3, 3)), "arrivals of one caller, and of all: {arrivals:?}");
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
