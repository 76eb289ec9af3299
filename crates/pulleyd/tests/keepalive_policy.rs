//! When the operating system gives up silent connections.

use pulleyd::connection::KeepalivePolicy;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

// A single lost keepalive probe closed connections on which an answer was awaited for over 5 s.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn a_connection_outlives_every_lost_probe_but_the_last() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    for policy in [KeepalivePolicy::UPSTREAM, KeepalivePolicy::CALLER] {
        let stream = TcpStream::connect(address).await.expect("it listens");
        policy.apply(&stream).expect("open");
        let socket = SockRef::from(&stream);
        let limit = socket.tcp_user_timeout().expect("open").expect("set");
        let idle = socket.tcp_keepalive_time().expect("open");
        let interval = socket.tcp_keepalive_interval().expect("open");
        let probes = socket.tcp_keepalive_retries().expect("open");
        assert!(limit >= idle + interval * probes, "{policy:?}: {limit:?}");
        assert!(probes >= 3, "{policy:?}");
    }
}
