//! The client double notices what goes wrong with its requests and feeds.

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
use h3_server::Seen;
use h3_server::Server;
use h3_server::start;

fn respond(body: impl Into<Bytes>) -> Answer {
    Answer::Respond(Response::new(()), body.into())
}

fn own_body((request, body): &Seen) -> Bytes {
    let path = request.uri().path_and_query().expect("path").as_str();
    expected_body(path, body)
}

fn client_of(server: &Server, authority: &CertificateAuthority) -> Client {
    let authorities = [authority.certificate()];
    let options = ClientOptions::new(server.address, authorities, "client-1");
    Client::new(options).expect("client")
}

/// Guards against a client that overlooks a mixed-up, truncated, refused or reset response.
#[rstest]
#[case::own(|seen: &Seen| respond(own_body(seen)), Outcome::Answered { status: 200 })]
#[case::another(|_: &Seen| respond(expected_body("/b", b"")), Outcome::Misrouted)]
#[case::truncated(|seen: &Seen| respond(own_body(seen).slice(..9)), Outcome::Truncated)]
#[case::reset(
    |_: &Seen| Answer::Reset(Code::H3_INTERNAL_ERROR),
    Outcome::Unknown(ResultCode::ResponseTruncated)
)]
#[case::rejected(
    |_: &Seen| Answer::Reset(Code::H3_REQUEST_REJECTED),
    Outcome::NotRun(ResultCode::NotRunDraining)
)]
#[case::refused(
    |_: &Seen| {
        let head = Response::builder().status(503).header(headers::RESULT_CODE, "F2001");
        Answer::Respond(head.body(()).expect("head"), Bytes::new())
    },
    Outcome::NotRun(ResultCode::NotRunOverloaded)
)]
#[case::failed(
    |_: &Seen| Answer::Respond(
        Response::builder().status(502).body(()).expect("head"),
        Bytes::new(),
    ),
    Outcome::Failed { status: 502 }
)]
#[actix_rt::test]
async fn every_kind_of_end_is_told_apart(
    #[case] answer: fn(&Seen) -> Answer,
    #[case] expected: Outcome,
) {
    let authority = CertificateAuthority::new();
    let server = start(&authority, answer);
    let client = client_of(&server, &authority);

    let outcome = client.get("/a?nonce=1").await;

    assert_eq!(outcome, expected);
    assert_eq!(client.counts().requests, 1);
}

/// Guards against a client that gives up, or takes a new key, when its connection is lost.
#[actix_rt::test]
async fn a_lost_connection_repeats_the_request_under_its_key() {
    let authority = CertificateAuthority::new();
    let calls = Cell::new(0);
    let server = start(&authority, move |seen| {
        calls.set(calls.get() + 1);
        match calls.get() {
            1 => Answer::Close,
            _ => respond(own_body(seen)),
        }
    });
    let client = client_of(&server, &authority);

    let outcome = client
        .send(ClientRequest::post("/reserve", "p.1", "lot 7"))
        .await;

    assert_eq!(outcome, Outcome::Answered { status: 200 });
    let seen = server.seen.borrow();
    let keys: Vec<_> = seen
        .iter()
        .map(|(request, _)| request.headers().get(headers::IDEMPOTENCY_KEY))
        .collect();
    assert_eq!(keys.len(), 2);
    assert_eq!(keys[0], keys[1]);
    let counts = client.counts();
    assert_eq!((counts.connections, counts.repeats), (2, 1));
}

/// Guards against keys without the issued prefix, and against a key that is used twice.
#[actix_rt::test]
async fn keys_carry_the_latest_prefix_and_differ() {
    let authority = CertificateAuthority::new();
    let server = start(&authority, |seen| {
        let head = Response::builder().header(headers::KEY_PREFIX, "prefix-1");
        Answer::Respond(head.body(()).expect("head"), own_body(seen))
    });
    let client = client_of(&server, &authority);

    let first = client.next_key().await;
    let second = client.next_key().await;

    assert_eq!(first, Ok("prefix-1.client-1-1".to_owned()));
    assert_eq!(second, Ok("prefix-1.client-1-2".to_owned()));
    assert_eq!(server.seen.borrow().len(), 1);
}

/// Guards against a feed whose gaps, duplicates or breaks go unnoticed.
#[actix_rt::test]
async fn feeds_notice_gaps_duplicates_and_breaks() {
    let authority = CertificateAuthority::new();
    let server = start(&authority, |_| {
        respond("id: 1\ndata: x\n\nid: 2\n\nid: 5\n\nid: 5\n\nid: 6\n\n")
    });
    let client = client_of(&server, &authority);

    let feed = client.open_feed("/feed/lots");

    wait_until("the feed ends", || feed.counts().breaks == 1).await;
    let counts = feed.counts();
    assert_eq!((counts.events, counts.gaps, counts.duplicates), (5, 2, 1));
    assert!(feed.is_broken());
}

/// Guards against a client that accepts a server of another authority.
#[actix_rt::test]
async fn a_foreign_server_is_not_trusted() {
    let server = start(&CertificateAuthority::new(), |seen| respond(own_body(seen)));
    let client = client_of(&server, &CertificateAuthority::new());

    let exchanged = client.exchange(&ClientRequest::get("/a")).await;

    assert!(matches!(exchanged, Err(Outcome::Lost(_))));
    assert!(server.seen.borrow().is_empty());
}
