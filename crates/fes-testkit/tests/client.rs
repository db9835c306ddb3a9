//! Tests that the client double detects failures of its requests and feeds.

#[path = "support/h3_server.rs"]
mod h3_server;

use std::cell::Cell;

use bytes::Bytes;
use fes_protocol::ResultCode;
use fes_protocol::headers;
use fes_testkit::CertificateAuthority;
use fes_testkit::Client;
use fes_testkit::ClientOptions;
use fes_testkit::ClientRequest;
use fes_testkit::Outcome;
use fes_testkit::expected_body;
use fes_testkit::wait_until;
use h3::error::Code;
use http::Response;
use rstest::rstest;

use h3_server::Answer;
use h3_server::ReceivedRequest;
use h3_server::Server;
use h3_server::start;

fn respond(body: impl Into<Bytes>) -> Answer {
    Answer::Respond(Response::new(()), body.into())
}

fn expected_body_of((request, body): &ReceivedRequest) -> Bytes {
    let path = request.uri().path_and_query().expect("path").as_str();
    expected_body(path, body)
}

fn client_for(server: &Server, authority: &CertificateAuthority) -> Client {
    let authorities = [authority.certificate()];
    let options = ClientOptions::new(server.address, authorities, "client-1");
    Client::new(options).expect("client")
}

/// Guards against a misrouted, truncated, refused or reset response that counts as an answer.
#[rstest]
#[case::own(|received: &ReceivedRequest| respond(expected_body_of(received)), Outcome::Answered { status: 200 })]
#[case::another(|_: &ReceivedRequest| respond(expected_body("/b", b"")), Outcome::Misrouted)]
#[case::truncated(|received: &ReceivedRequest| respond(expected_body_of(received).slice(..9)), Outcome::Truncated)]
#[case::reset(
    |_: &ReceivedRequest| Answer::Reset(Code::H3_INTERNAL_ERROR),
    Outcome::Unknown(ResultCode::ResponseTruncated)
)]
#[case::rejected(
    |_: &ReceivedRequest| Answer::Reset(Code::H3_REQUEST_REJECTED),
    Outcome::NotRun(ResultCode::NotRunDraining)
)]
#[case::refused(
    |_: &ReceivedRequest| {
        let head = Response::builder().status(503).header(headers::RESULT_CODE, "F2001");
        Answer::Respond(head.body(()).expect("head"), Bytes::new())
    },
    Outcome::NotRun(ResultCode::NotRunOverloaded)
)]
#[case::failed(
    |_: &ReceivedRequest| Answer::Respond(
        Response::builder().status(502).body(()).expect("head"),
        Bytes::new(),
    ),
    Outcome::Failed { status: 502 }
)]
#[actix_rt::test]
async fn outcomes_are_distinguished(
    #[case] answer: fn(&ReceivedRequest) -> Answer,
    #[case] expected: Outcome,
) {
    let authority = CertificateAuthority::new();
    let server = start(&authority, answer);
    let client = client_for(&server, &authority);

    let outcome = client.get("/a?nonce=1").await;

    assert_eq!(outcome, expected);
    assert_eq!(client.counts().requests, 1);
}

/// Guards against a request that fails, or is sent with a new key, when its connection is lost.
#[actix_rt::test]
async fn a_request_is_retried_with_its_key_after_connection_loss() {
    let authority = CertificateAuthority::new();
    let calls = Cell::new(0);
    let server = start(&authority, move |received| {
        calls.set(calls.get() + 1);
        match calls.get() {
            1 => Answer::Close,
            _ => respond(expected_body_of(received)),
        }
    });
    let client = client_for(&server, &authority);

    let outcome = client
        .send(ClientRequest::post("/reserve", "p.1", "lot 7"))
        .await;

    assert_eq!(outcome, Outcome::Answered { status: 200 });
    let received = server.received.borrow();
    let keys: Vec<_> = received
        .iter()
        .map(|(request, _)| request.headers().get(headers::IDEMPOTENCY_KEY))
        .collect();
    assert_eq!(keys.len(), 2);
    assert_eq!(keys[0], keys[1]);
    let counts = client.counts();
    assert_eq!((counts.connections, counts.repeats), (2, 1));
}

/// Guards against keys without the issued prefix, and against duplicate keys.
#[actix_rt::test]
async fn keys_have_the_issued_prefix_and_are_unique() {
    let authority = CertificateAuthority::new();
    let server = start(&authority, |received| {
        let head = Response::builder().header(headers::KEY_PREFIX, "prefix-1");
        Answer::Respond(head.body(()).expect("head"), expected_body_of(received))
    });
    let client = client_for(&server, &authority);

    let first = client.next_key().await;
    let second = client.next_key().await;

    assert_eq!(first, Ok("prefix-1.client-1-1".to_owned()));
    assert_eq!(second, Ok("prefix-1.client-1-2".to_owned()));
    assert_eq!(server.received.borrow().len(), 1);
}

/// Guards against gaps, duplicates or interruptions of a feed that aren't counted.
#[actix_rt::test]
async fn feed_gaps_duplicates_and_breaks_are_counted() {
    let authority = CertificateAuthority::new();
    let server = start(&authority, |_| {
        respond("id: 1\ndata: x\n\nid: 2\n\nid: 5\n\nid: 5\n\nid: 6\n\n")
    });
    let client = client_for(&server, &authority);

    let feed = client.open_feed("/feed/lots");

    wait_until("the feed ends", || feed.counts().breaks == 1).await;
    let counts = feed.counts();
    assert_eq!((counts.events, counts.gaps, counts.duplicates), (5, 2, 1));
    assert!(feed.is_broken());
}

/// Guards against a client that accepts a certificate of an authority it doesn't trust.
#[actix_rt::test]
async fn an_untrusted_server_certificate_is_rejected() {
    let server = start(&CertificateAuthority::new(), |received| {
        respond(expected_body_of(received))
    });
    let client = client_for(&server, &CertificateAuthority::new());

    let exchanged = client.exchange(&ClientRequest::get("/a")).await;

    assert!(matches!(exchanged, Err(Outcome::Lost(_))));
    assert!(server.received.borrow().is_empty());
}
