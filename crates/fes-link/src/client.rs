//! Client side of links, with one connection per peer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use fes_protocol::Error;
use fes_protocol::FastMap;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use h2::RecvStream;
use h2::client::SendRequest;
use http::Request;
use rustls_pki_types::ServerName;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use crate::LINK_SERVER_NAME;
use crate::LinkTls;
use crate::SharedConnection;
use crate::decode_head;
use crate::encode_head;
use crate::head::read_head;
use crate::head::with_length_prefix;
use crate::send_chunk;

const WINDOW_BYTES: u32 = 1024 * 1024;

/// Opens links to other processes and reuses them.
#[derive(Debug, Clone)]
pub struct LinkPool {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    tls: LinkTls,
    links: RefCell<FastMap<SocketAddr, Rc<SharedConnection>>>,
}

/// A message whose head was sent. Its body may follow.
#[derive(Debug)]
pub struct LinkCall {
    /// Stream for the body of the message.
    pub body: h2::SendStream<Bytes>,
    response: h2::client::ResponseFuture,
}

/// The reply to a message.
#[derive(Debug)]
pub struct LinkReply {
    /// Encoded head.
    pub head: Bytes,
    /// Body bytes that were received with the head.
    pub first_body: Bytes,
    /// Rest of the body.
    pub body: RecvStream,
}

impl LinkCall {
    /// Waits for the head of the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::LinkClosed`] if the link closed or the peer reset the stream.
    pub async fn reply(&mut self) -> Result<LinkReply> {
        let response = (&mut self.response)
            .await
            .map_err(|e| Error::coded(ResultCode::LinkClosed, e.to_string()))?;
        let mut body = response.into_body();
        let (head, first_body) = read_head(&mut body).await?;
        Ok(LinkReply {
            head,
            first_body,
            body,
        })
    }
}

impl LinkPool {
    /// Creates a pool without open links.
    #[must_use]
    pub fn new(tls: LinkTls) -> Self {
        Self {
            inner: Rc::new(Inner {
                tls,
                links: RefCell::default(),
            }),
        }
    }

    /// Sends a message without a body and waits for the head of its reply.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::LinkRefused`] if nothing was sent, [`ResultCode::LinkClosed`] if the
    /// message may have arrived.
    pub async fn call<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        kind: &str,
        head: &impl Serialize,
    ) -> Result<T> {
        let mut call = self.open(peer, kind, head, true).await?;
        let reply = call.reply().await?;
        decode_head(&reply.head)
    }

    /// Sends the head of a message. The body follows unless `end` is set.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::LinkRefused`] if nothing was sent, [`ResultCode::LinkClosed`] if the
    /// message may have arrived.
    pub async fn open(
        &self,
        peer: SocketAddr,
        kind: &str,
        head: &impl Serialize,
        end: bool,
    ) -> Result<LinkCall> {
        let head = with_length_prefix(&encode_head(head)?);
        let mut sender = self.sender(peer).await?;
        let request = Request::post(format!("https://{LINK_SERVER_NAME}/{kind}"))
            .body(())
            .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
        let (response, mut body) = sender.send_request(request, false).map_err(|e| {
            Error::coded(
                ResultCode::LinkRefused,
                format!("sending a message to {peer} failed: {e}"),
            )
        })?;
        send_chunk(&mut body, head, end)
            .await
            .map_err(|e| Error::coded(ResultCode::LinkClosed, e.to_string()))?;
        Ok(LinkCall { body, response })
    }

    /// Opens a link if there is none. Sends no message.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::LinkRefused`].
    pub async fn connect(&self, peer: SocketAddr) -> Result<()> {
        self.sender(peer).await.map(|_| ())
    }

    /// Closes all links.
    pub fn close(&self) {
        for (_, link) in self.inner.links.borrow_mut().drain() {
            link.close();
        }
    }

    async fn sender(&self, peer: SocketAddr) -> Result<SendRequest<Bytes>> {
        let link = Rc::clone(self.inner.links.borrow_mut().entry(peer).or_default());
        let connecting = || connect(peer, &self.inner.tls);
        let sender = link.sender(connecting).await;
        sender.map_err(|e| {
            Error::io(
                ResultCode::LinkRefused,
                format!("connecting to {peer} failed"),
                e,
            )
        })
    }
}

async fn connect(
    peer: SocketAddr,
    tls: &LinkTls,
) -> std::io::Result<(SendRequest<Bytes>, impl Future<Output = ()> + use<>)> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let name = ServerName::try_from(LINK_SERVER_NAME).map_err(std::io::Error::other)?;
    let stream = TlsConnector::from(tls.client.clone())
        .connect(name, stream)
        .await?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4)
        .enable_push(false);
    let (sender, connection) = builder
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(std::io::Error::other)?;
    let driver = async move {
        if let Err(e) = connection.await {
            log::debug!("link: connection to {peer} failed: {e}");
        }
    };
    Ok((sender, driver))
}
