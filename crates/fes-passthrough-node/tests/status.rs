//! The command that prints the status of a process.

use std::net::SocketAddr;

use fes_passthrough_node::fetch_status;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Serves one HTTP response with this body.
async fn serve_once(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("connected");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all((head + body).as_bytes()).await;
    });
    address
}

/// Guards against a command that changes the status, or that accepts a reply that isn't JSON.
#[rstest]
#[case(r#"{"flows":3}"#, Some("{\n  \"flows\": 3\n}"))]
#[case("not found", None)]
fn the_command_prints_the_status_of_the_process(
    #[case] body: &'static str,
    #[case] expected: Option<&str>,
) {
    let fetched = actix_rt::System::new().block_on(async {
        let address = serve_once(body).await;
        fetch_status(address).await
    });

    assert_eq!(fetched.ok().as_deref(), expected);
}
