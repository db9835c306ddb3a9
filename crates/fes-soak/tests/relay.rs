//! Tests that the relay forwards messages between daemons and applies link faults.

use std::net::SocketAddrV4;
use std::rc::Rc;

use fes_soak::DaemonId;
use fes_soak::LinkFault;
use fes_soak::NODE_PORT;
use fes_soak::Network;
use fes_soak::Relay;
use rstest::rstest;
use tokio::net::UdpSocket;
use tokio::time::Duration;
use tokio::time::Instant;
use tokio::time::timeout;

const ENTRY: DaemonId = DaemonId::Entry(0);
const AGENT: DaemonId = DaemonId::Agent(0);
const RECEIVE_TIMEOUT_MS: u64 = 500;
const DELAY_MS: u64 = 200;

struct Link {
    relay: Rc<Relay>,
    network: Network,
    entry: UdpSocket,
    agent: UdpSocket,
}

/// Starts a relay between an entry and an agent. Concurrent tests need different subnets.
async fn start_link(subnet: u8) -> Link {
    let network = Network { subnet };
    let bind = |daemon| UdpSocket::bind(SocketAddrV4::new(network.daemon(daemon), NODE_PORT));
    Link {
        relay: Relay::start(network, [ENTRY, AGENT].into_iter())
            .await
            .expect("aliases are free"),
        network,
        entry: bind(ENTRY).await.expect("the entry's address is free"),
        agent: bind(AGENT).await.expect("the agent's address is free"),
    }
}

impl Link {
    async fn send_to_agent(&self) {
        let alias = SocketAddrV4::new(self.network.alias(AGENT), NODE_PORT);
        self.entry.send_to(b"ask", alias).await.expect("sent");
    }

    /// Returns the time until the agent receives a message, in milliseconds, or `None` on a
    /// timeout.
    async fn receive_time_ms(&self) -> Option<u64> {
        let started = Instant::now();
        let mut buffer = [0; 16];
        let received = timeout(
            Duration::from_millis(RECEIVE_TIMEOUT_MS),
            self.agent.recv_from(&mut buffer),
        );
        let (_, from) = received.await.ok()?.ok()?;
        assert_eq!(from.ip(), self.network.alias(ENTRY));
        u64::try_from(started.elapsed().as_millis()).ok()
    }
}

#[rstest]
#[case(221, LinkFault::DropOutgoing(ENTRY), false)]
#[case(222, LinkFault::DropIncoming(AGENT), false)]
#[case(223, LinkFault::Loss(AGENT, 100), false)]
#[case(224, LinkFault::DropOutgoing(AGENT), true)]
#[case(225, LinkFault::DropIncoming(ENTRY), true)]
fn faults_affect_one_direction_until_they_end(
    #[case] subnet: u8,
    #[case] fault: LinkFault,
    #[case] arrives: bool,
) {
    actix_rt::System::new().block_on(async {
        let link = start_link(subnet).await;
        link.relay.start_fault(fault);
        link.send_to_agent().await;

        let during = link.receive_time_ms().await;
        link.relay.end_fault(fault);
        link.send_to_agent().await;
        let after = link.receive_time_ms().await;

        assert_eq!(during.is_some(), arrives);
        assert!(after.is_some());
    });
}

#[test]
fn delay_fault_delays_messages() {
    actix_rt::System::new().block_on(async {
        let link = start_link(226).await;
        link.relay.start_fault(LinkFault::Delay(ENTRY, DELAY_MS));
        link.send_to_agent().await;

        let after_ms = link.receive_time_ms().await;

        assert!(
            after_ms.is_some_and(|ms| ms >= DELAY_MS / 2 - 1),
            "{after_ms:?}"
        );
    });
}
