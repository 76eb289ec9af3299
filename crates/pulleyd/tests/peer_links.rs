//! Links and datagrams between hosts, over real sockets on loopback.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::HostId;
use pulleyd::connection::{
    DATAGRAM_LIMIT, DatagramSeal, FRAME_LIMIT, FrameClass, InboundFrame, KeyRing, LinkSettings,
    PeerDatagrams, PeerLinks,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

const OLD_KEY: &str = "old-key-0123456789abcdef0123456789abcdef";
const NEW_KEY: &str = "new-key-0123456789abcdef0123456789abcdef";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn settings(name: &str, keys: &str) -> LinkSettings {
    let key_ring = KeyRing::from_text(keys).unwrap();
    LinkSettings::new(host(name), "test".parse().unwrap(), loopback(), key_ring)
        .with_heartbeat(Duration::from_millis(50))
        .with_bind_ip([127, 0, 0, 1].into())
}

async fn links(settings: LinkSettings) -> (PeerLinks, mpsc::Receiver<InboundFrame>) {
    let (inbound, frames) = mpsc::channel(64);
    (PeerLinks::start(settings, inbound).await.unwrap(), frames)
}

/// Sends until a frame arrives, as the protocols on top of links do. Returns the frame.
async fn send_until_received(
    from: &PeerLinks,
    to: &HostId,
    frames: &mut mpsc::Receiver<InboundFrame>,
) -> InboundFrame {
    let sent = async {
        loop {
            from.send(to, FrameClass::Ledger, Bytes::from_static(b"again"));
            if let Ok(Some(frame)) = timeout(Duration::from_millis(50), frames.recv()).await {
                return frame;
            }
        }
    };
    timeout(TEST_TIMEOUT, sent).await.unwrap()
}

async fn wait_for(mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.unwrap();
}

/// A proxy between two hosts that can stop forwarding bytes without closing its connections.
async fn stallable_proxy(to: SocketAddr, stalled: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            let far = TcpStream::connect(to).await.unwrap();
            // Connections that are opened after the stop do work, as with a real network device.
            let can_stall = Rc::new(Cell::new(!stalled.get()));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            for (mut read, mut write) in [(near_read, far_write), (far_read, near_write)] {
                let (stalled, can_stall) = (Rc::clone(&stalled), Rc::clone(&can_stall));
                tokio::task::spawn_local(async move {
                    let mut buffer = vec![0; 4_096];
                    while let Ok(length @ 1..) = read.read(&mut buffer).await {
                        if stalled.get() && can_stall.get() {
                            std::future::pending::<()>().await;
                        }
                        if write.write_all(&buffer[..length]).await.is_err() {
                            return;
                        }
                    }
                });
            }
        }
    });
    address
}

#[tokio::test]
async fn frames_arrive_in_order_and_name_their_sender() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) = links(settings("one", OLD_KEY)).await;
            let (two, mut frames) = links(settings("two", OLD_KEY)).await;
            one.set_address(&host("two"), two.local_address());
            for number in 0..500_u32 {
                let body = Bytes::copy_from_slice(&number.to_le_bytes());
                assert!(one.send(&host("two"), FrameClass::Replication, body));
            }
            for number in 0..500_u32 {
                let frame = timeout(TEST_TIMEOUT, frames.recv()).await.unwrap().unwrap();
                assert_eq!(frame.from, host("one"));
                assert_eq!(frame.class, FrameClass::Replication);
                assert_eq!(frame.body, Bytes::copy_from_slice(&number.to_le_bytes()));
            }
            assert_eq!(one.connected_hosts(), vec![host("two")]);
        })
        .await;
}

/// A network device between two hosts loses track of an open connection. TCP reports it as open and
/// nothing gets through, but new connections work. If the link were not replaced, the hosts could
/// not communicate for minutes.
#[tokio::test]
async fn a_silent_link_is_replaced() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) = links(settings("one", OLD_KEY)).await;
            let (two, mut frames) = links(settings("two", OLD_KEY)).await;
            let stalled = Rc::new(Cell::new(false));
            let address = stallable_proxy(two.local_address(), Rc::clone(&stalled)).await;
            one.set_address(&host("two"), address);
            send_until_received(&one, &host("two"), &mut frames).await;
            stalled.set(true);
            wait_for(|| one.counts().silent == 1).await;
            assert_eq!(one.connected_hosts(), Vec::<HostId>::new());
            let frame = send_until_received(&one, &host("two"), &mut frames).await;
            assert_eq!(frame.from, host("one"));
            assert_eq!(one.counts().opened, 2);
        })
        .await;
}

/// Forwards connections. Bytes to the target pass at a limited rate, in bytes per second.
async fn slow_proxy(to: SocketAddr, rate: usize) -> SocketAddr {
    const STEP: Duration = Duration::from_millis(10);
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            let far = TcpStream::connect(to).await.unwrap();
            let (mut near_read, mut near_write) = near.into_split();
            let (mut far_read, mut far_write) = far.into_split();
            tokio::task::spawn_local(async move {
                let _ = tokio::io::copy(&mut far_read, &mut near_write).await;
            });
            tokio::task::spawn_local(async move {
                let mut buffer = vec![0; rate / 100];
                while let Ok(length @ 1..) = near_read.read(&mut buffer).await {
                    if far_write.write_all(&buffer[..length]).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(STEP).await;
                }
            });
        }
    });
    address
}

/// A frame can take longer on a slow link than heartbeats may stay unanswered. The link must not be
/// treated as silent and replaced, because that would drop all frames queued behind that frame.
#[tokio::test]
async fn a_large_frame_gets_through_a_slow_link() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) = links(settings("one", OLD_KEY)).await;
            let (two, mut frames) = links(settings("two", OLD_KEY)).await;
            let address = slow_proxy(two.local_address(), 256 << 10).await;
            one.set_address(&host("two"), address);
            send_until_received(&one, &host("two"), &mut frames).await;
            let body = Bytes::from(vec![7; 256 << 10]);
            assert!(one.send(&host("two"), FrameClass::Operator, body.clone()));
            let large = async { while frames.recv().await.unwrap().body != body {} };
            timeout(TEST_TIMEOUT, large).await.unwrap();
            assert_eq!(one.counts().silent, 0);
        })
        .await;
}

/// The receiver also limits the size of what it reads. A frame of the largest size that may be sent
/// must pass that limit.
#[tokio::test]
async fn the_largest_frame_gets_through() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) = links(settings("one", OLD_KEY)).await;
            let (two, mut frames) = links(settings("two", OLD_KEY)).await;
            one.set_address(&host("two"), two.local_address());
            send_until_received(&one, &host("two"), &mut frames).await;
            let body = Bytes::from(vec![7; FRAME_LIMIT]);
            for _ in 0..60 {
                one.send(&host("two"), FrameClass::Ledger, Bytes::from(vec![1; 2_100]));
            }
            assert!(one.send(&host("two"), FrameClass::Replication, body.clone()));
            let large = async { while frames.recv().await.unwrap().body != body {} };
            timeout(TEST_TIMEOUT, large).await.unwrap();
            assert_eq!(one.counts().failed, 0);
        })
        .await;
}

/// A host with the key of another installation connects, by mistake or on purpose. Its frames must
/// be rejected.
#[tokio::test]
async fn a_wrong_key_gets_no_link() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) = links(settings("one", NEW_KEY)).await;
            let (two, mut frames) = links(settings("two", OLD_KEY)).await;
            one.set_address(&host("two"), two.local_address());
            one.send(&host("two"), FrameClass::Ledger, Bytes::from_static(b"no"));
            wait_for(|| one.counts().failed > 0).await;
            assert!(frames.try_recv().is_err());
            assert!(one.connected_hosts().is_empty());
        })
        .await;
}

/// The known address of a host now belongs to another host, which must not receive its frames.
#[tokio::test]
async fn a_link_to_the_wrong_host_is_not_used() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) = links(settings("one", OLD_KEY)).await;
            let (two, mut frames) = links(settings("two", OLD_KEY)).await;
            one.set_address(&host("three"), two.local_address());
            one.send(&host("three"), FrameClass::Ledger, Bytes::from_static(b"no"));
            wait_for(|| one.counts().failed > 0).await;
            assert!(frames.try_recv().is_err());
        })
        .await;
}

/// While keys are rotated, hosts sign with different keys. All hosts must still accept each other.
#[tokio::test]
async fn hosts_in_the_middle_of_a_rotation_accept_each_other() {
    LocalSet::new()
        .run_until(async {
            let (mut one, mut one_frames) =
                links(settings("one", &format!("{NEW_KEY}\n{OLD_KEY}\n"))).await;
            let (mut two, mut two_frames) =
                links(settings("two", &format!("# rotation\n{OLD_KEY}\n{NEW_KEY}\n"))).await;
            one.set_address(&host("two"), two.local_address());
            two.set_address(&host("one"), one.local_address());
            send_until_received(&one, &host("two"), &mut two_frames).await;
            send_until_received(&two, &host("one"), &mut one_frames).await;
        })
        .await;
}

#[test]
fn a_changed_secret_file_is_taken_over_and_never_shown() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("secret");
    std::fs::write(&path, OLD_KEY).unwrap();
    let ring = KeyRing::load(&path).unwrap();
    let other = KeyRing::from_text(NEW_KEY).unwrap();
    let tag = other.sign(&[b"part"]);
    assert!(!ring.verify(&[b"part"], &tag));
    assert!(!ring.reload().unwrap());
    std::fs::write(&path, format!("{OLD_KEY}\n{NEW_KEY}\n")).unwrap();
    assert!(ring.reload().unwrap());
    assert!(ring.verify(&[b"part"], &tag));
    assert!(!ring.verify(&[b"part"], &tag[..8]), "a tag that is too short is rejected");
    assert!(!ring.verify(&[b"pa", b"rt"], &tag), "the boundaries of parts are signed");
    std::fs::write(&path, "short").unwrap();
    let fault = ring.reload().unwrap_err();
    assert!(ring.verify(&[b"part"], &tag), "an invalid file leaves the keys unchanged");
    let shown = format!("{ring:?} {fault:?} {fault}");
    assert!(!shown.contains("key-0123") && !shown.contains("short\""), "{shown}");
}

/// A host accepts nothing for a while. The frames queued for it must not exhaust the memory of the
/// sending hosts.
#[tokio::test]
async fn queues_and_frames_are_bounded() {
    LocalSet::new()
        .run_until(async {
            let (mut one, _one_frames) =
                links(settings("one", OLD_KEY).with_queue(10, 4 * FRAME_LIMIT)).await;
            let unresponsive = TcpListener::bind(loopback()).await.unwrap();
            one.set_address(&host("two"), unresponsive.local_addr().unwrap());
            let body = Bytes::from(vec![0; FRAME_LIMIT + 1]);
            assert!(!one.send(&host("two"), FrameClass::Replication, body));
            let body = Bytes::from(vec![0; FRAME_LIMIT]);
            let large = (0..10)
                .filter(|_| one.send(&host("two"), FrameClass::Replication, body.clone()))
                .count();
            assert_eq!(large, 4, "bounded in bytes");
            let small =
                (0..20).filter(|_| one.send(&host("two"), FrameClass::Ledger, Bytes::new()));
            assert_eq!(small.count(), 6, "bounded in frames");
        })
        .await;
}

/// Anyone can send datagrams. Those of another installation, modified ones and oversized ones must
/// not reach the state machines.
#[tokio::test]
async fn only_genuine_datagrams_pass() {
    let (inbound, mut datagrams) = mpsc::channel(16);
    let ring = || KeyRing::from_text(OLD_KEY).unwrap();
    let seal = |name: &str, cluster: &str, ring: KeyRing| {
        DatagramSeal::new(host(name), cluster.parse().unwrap(), ring)
    };
    let two = PeerDatagrams::bind(loopback(), seal("two", "test", ring()), inbound).await.unwrap();
    let to = two.local_address().unwrap();
    let raw = UdpSocket::bind(loopback()).await.unwrap();
    let own = seal("one", "test", ring());
    let mut changed = own.seal(FrameClass::Counts, b"counts");
    changed[8] ^= 1;
    let wrong = KeyRing::from_text(NEW_KEY).unwrap();
    for bad in [
        changed,
        seal("one", "other", ring()).seal(FrameClass::Counts, b"counts"),
        seal("one", "test", wrong).seal(FrameClass::Counts, b"counts"),
        own.seal(FrameClass::Counts, &vec![0; DATAGRAM_LIMIT + 200]),
        b"short".to_vec(),
    ] {
        raw.send_to(&bad, to).await.unwrap();
    }
    raw.send_to(&own.seal(FrameClass::Counts, b"genuine"), to).await.unwrap();
    let first = timeout(TEST_TIMEOUT, datagrams.recv()).await.unwrap().unwrap();
    assert_eq!(first.sender, host("one"));
    assert_eq!(first.class, FrameClass::Counts);
    assert_eq!(&first.body[..], b"genuine");
    assert_eq!(two.counts().refused, 5);
    assert!(!two.send(to, FrameClass::Counts, &vec![0; DATAGRAM_LIMIT + 1]));
}

/// A host sends as soon as its socket is bound. If the first messages were dropped because the
/// runtime does not yet know that the socket is writable, the host would join later than necessary.
#[tokio::test]
async fn the_first_datagram_is_sent() {
    let (inbound, mut datagrams) = mpsc::channel(16);
    let (unused, _kept) = mpsc::channel(1);
    let seal = |name: &str| {
        DatagramSeal::new(host(name), "test".parse().unwrap(), KeyRing::from_text(OLD_KEY).unwrap())
    };
    let two = PeerDatagrams::bind(loopback(), seal("two"), inbound).await.unwrap();
    let one = PeerDatagrams::bind(loopback(), seal("one"), unused).await.unwrap();
    assert!(one.send(two.local_address().unwrap(), FrameClass::Membership, b"first"));
    let first = timeout(TEST_TIMEOUT, datagrams.recv()).await.unwrap().unwrap();
    assert_eq!(&first.body[..], b"first");
}

/// Leases of upstreams and messages of the configuration go to the same host in the same round.
/// With one datagram for each, both hosts would wake up twice, which is half of the processor time
/// of an idle entry. A message that does not fit is sent in its own datagram, and a truncated
/// bundle is rejected as a whole.
#[tokio::test]
async fn messages_to_one_host_share_a_datagram() {
    let (inbound, mut datagrams) = mpsc::channel(16);
    let (unused, _kept) = mpsc::channel(1);
    let seal = |name: &str| {
        DatagramSeal::new(host(name), "test".parse().unwrap(), KeyRing::from_text(OLD_KEY).unwrap())
    };
    let two = PeerDatagrams::bind(loopback(), seal("two"), inbound).await.unwrap();
    let one = PeerDatagrams::bind(loopback(), seal("one"), unused).await.unwrap();
    let to = two.local_address().unwrap();
    let small = [
        (FrameClass::Upstreams, Bytes::from_static(b"leases")),
        (FrameClass::Configuration, Bytes::from_static(b"version")),
    ];
    let large = [small[0].clone(), (FrameClass::Membership, Bytes::from(vec![7; DATAGRAM_LIMIT]))];
    one.send_bundle(to, &small);
    one.send_bundle(to, &large);
    for (class, body) in small.iter().chain(&large) {
        let next = timeout(TEST_TIMEOUT, datagrams.recv()).await.unwrap().unwrap();
        assert_eq!((next.sender, next.class, next.body), (host("one"), *class, body.clone()));
    }
    assert_eq!(one.counts().sent, 3);
    let bundle = seal("one").seal_bundle(&small);
    assert!(seal("two").open(&bundle).is_some());
    assert!(seal("two").open(&bundle[..bundle.len() - 1]).is_none());
}
