//! Guards against links that lose or mix up messages, accept foreign certificates, take truncated
//! bodies for complete ones or aren't reopened. Runs on real sockets.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use fes_link::LinkCall;
use fes_link::LinkHandler;
use fes_link::LinkPool;
use fes_link::LinkRequest;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_link::decode_head;
use fes_link::next_chunk;
use fes_link::send_chunk;
use fes_protocol::ResultCode;
use fes_testkit::CertificateAuthority;
use rstest::rstest;

const KIND: &str = "test";

fn tls(authority: &CertificateAuthority) -> LinkTls {
    let identity = authority.link_identity();
    let key = identity.private_key.clone_key();
    LinkTls::new(identity.authorities, identity.certificates, key).expect("link identity")
}

fn serve<F>(
    address: SocketAddr,
    tls: &LinkTls,
    handle: impl Fn(LinkRequest) -> F + 'static,
) -> LinkServer
where
    F: Future<Output = ()> + 'static,
{
    let handler: LinkHandler = Rc::new(move |request| Box::pin(handle(request)));
    LinkServer::start(address, tls, handler).expect("server")
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Replies with the double of the number in the head.
async fn double(request: LinkRequest) {
    let number: u64 = decode_head(&request.head).expect("a number");
    request.responder.reply(&(number * 2)).await.expect("reply");
}

/// Fails if a head is lost, truncated or confused with that of another message.
#[actix_rt::test]
async fn concurrent_calls_get_their_own_replies() {
    let tls = tls(&CertificateAuthority::new());
    let server = serve(loopback(), &tls, double);
    let pool = LinkPool::new(tls);

    let calls = (0..200_u64).map(|number| {
        let pool = pool.clone();
        let address = server.address();
        async move {
            pool.call::<u64>(address, KIND, &number)
                .await
                .expect("reply")
        }
    });
    let replies = futures::future::join_all(calls).await;

    assert_eq!(
        replies,
        (0..200).map(|number| number * 2).collect::<Vec<_>>()
    );
}

/// Fails if a message that makes its handler panic ends the links of all peers.
#[actix_rt::test]
async fn calls_after_a_panic_of_the_handler_get_replies() {
    let tls = tls(&CertificateAuthority::new());
    let server = serve(loopback(), &tls, |request| async {
        let number: u64 = decode_head(&request.head).expect("a number");
        assert_ne!(number, 0, "unexpected message");
        double(request).await;
    });
    let pool = LinkPool::new(tls);

    let failed = pool.call::<u64>(server.address(), KIND, &0_u64).await;
    let reply = pool.call::<u64>(server.address(), KIND, &21_u64).await;

    assert!(failed.is_err());
    assert_eq!(reply.expect("reply"), 42);
}

/// Fails if a process with a certificate of another certificate authority can exchange messages.
#[actix_rt::test]
async fn certificate_of_another_authority_is_rejected() {
    let server = serve(loopback(), &tls(&CertificateAuthority::new()), double);
    let foreign_pool = LinkPool::new(tls(&CertificateAuthority::new()));

    let reply = foreign_pool
        .call::<u64>(server.address(), KIND, &1_u64)
        .await;

    assert_eq!(reply.expect_err("refused").code(), ResultCode::LinkRefused);
}

/// Fails if a body that its sender aborts is taken for a complete one.
#[rstest]
#[case::complete(true)]
#[case::aborted(false)]
#[actix_rt::test]
async fn body_is_received_completely_or_as_an_error(#[case] is_complete: bool) {
    let tls = tls(&CertificateAuthority::new());
    let server = serve(loopback(), &tls, move |request| async move {
        let mut body = request.responder.reply_with_body(&()).await.expect("head");
        let chunk = Bytes::from(vec![7; 300_000]);
        send_chunk(&mut body, chunk, is_complete)
            .await
            .expect("body");
        if !is_complete {
            body.send_reset(h2::Reason::INTERNAL_ERROR);
        }
    });
    let pool = LinkPool::new(tls);

    let mut call = pool
        .open(server.address(), KIND, &(), true)
        .await
        .expect("link");
    let received = receive_all(&mut call).await;

    assert_eq!(received.ok(), is_complete.then_some(300_000));
}

/// Returns the length of the complete body, or an error. A reset may arrive before the head.
async fn receive_all(call: &mut LinkCall) -> Result<usize, String> {
    let mut reply = call.reply().await.map_err(|e| e.to_string())?;
    let mut length_bytes = reply.first_body.len();
    while let Some(chunk) = next_chunk(&mut reply.body).await {
        length_bytes += chunk.map_err(|e| e.to_string())?.len();
    }
    Ok(length_bytes)
}

/// Fails if a link isn't reopened after its peer restarted.
#[actix_rt::test]
async fn link_is_reopened_after_peer_restart() {
    let tls = tls(&CertificateAuthority::new());
    let server = serve(loopback(), &tls, double);
    let address = server.address();
    let pool = LinkPool::new(tls.clone());
    let first = pool
        .call::<u64>(address, KIND, &1_u64)
        .await
        .expect("reply");

    drop(server);
    while pool.connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let _server = serve(address, &tls, double);
    let mut second = pool.call::<u64>(address, KIND, &2_u64).await;
    while second.is_err() {
        second = pool.call(address, KIND, &2_u64).await;
    }

    assert_eq!((first, second.expect("reply")), (2, 4));
}
