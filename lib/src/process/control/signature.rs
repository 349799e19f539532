//! Authentication of control calls with a key derived from the fleet secret.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::HttpBody;
use tower::Layer;
use tower::Service;

use crate::connection::MAC_HEADER;
use crate::process::secret::DerivedKey;

/// Maximum size of the body of a control call, in bytes.
pub(super) const CONTROL_BYTES_MAX: usize = 4 * 1_024 * 1_024;

type CallFuture<T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send>>;

/// Layer that adds the authentication code to each call of a client.
#[derive(Clone, Debug)]
pub struct SignLayer {
    pub(super) key: DerivedKey,
}

impl<S> Layer<S> for SignLayer {
    type Service = SignService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        SignService {
            key: self.key.clone(),
            inner,
        }
    }
}

/// Client service that adds the authentication code to each call.
#[derive(Clone, Debug)]
pub struct SignService<S> {
    key: DerivedKey,
    inner: S,
}

impl<S> Service<Request<HttpBody>> for SignService<S>
where
    S: Service<Request<HttpBody>> + Clone + Send + 'static,
    S::Future: Send,
    S::Response: Send,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = CallFuture<S::Response, S::Error>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<HttpBody>) -> Self::Future {
        let key = self.key.clone();
        let spare = self.inner.clone();
        let mut inner = std::mem::replace(&mut self.inner, spare);
        Box::pin(async move {
            let (mut parts, body) = request.into_parts();
            let body = buffered_body(body).await.unwrap_or_default();
            let mac = blake3::Hash::from_bytes(key.mac(&body));
            if let Ok(value) = HeaderValue::try_from(mac.to_hex().as_str()) {
                parts.headers.insert(MAC_HEADER, value);
            }
            let request = Request::from_parts(parts, HttpBody::from(body.to_vec()));
            inner.call(request).await
        })
    }
}

/// Layer that refuses each call to a server without a valid authentication code.
#[derive(Clone, Debug)]
pub(super) struct VerifyLayer {
    pub(super) key: DerivedKey,
}

impl<S> Layer<S> for VerifyLayer {
    type Service = VerifyService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        VerifyService {
            key: self.key.clone(),
            inner,
        }
    }
}

/// Server service that refuses each call without a valid authentication code.
#[derive(Clone, Debug)]
pub(super) struct VerifyService<S> {
    key: DerivedKey,
    inner: S,
}

impl<S, B> Service<Request<B>> for VerifyService<S>
where
    S: Service<Request<HttpBody>, Response = Response<HttpBody>, Error = BoxError>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    type Response = Response<HttpBody>;
    type Error = BoxError;
    type Future = CallFuture<Response<HttpBody>, BoxError>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let key = self.key.clone();
        let spare = self.inner.clone();
        let mut inner = std::mem::replace(&mut self.inner, spare);
        Box::pin(async move {
            let (mut parts, body) = request.into_parts();
            let mac = parts.headers.remove(MAC_HEADER);
            let body = match buffered_body(body).await {
                Ok(body) => body,
                Err(_) => return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE)),
            };
            let mac = mac.and_then(|mac| blake3::Hash::from_hex(mac.as_bytes()).ok());
            match mac {
                Some(mac) if key.verify(&body, mac.as_bytes()) => {
                    let request = Request::from_parts(parts, HttpBody::from(body.to_vec()));
                    inner.call(request).await
                }
                Some(_) | None => Ok(empty(StatusCode::UNAUTHORIZED)),
            }
        })
    }
}

async fn buffered_body<B>(body: B) -> Result<Bytes, BoxError>
where
    B: http_body::Body<Data = Bytes> + Send,
    B::Error: Into<BoxError>,
{
    let collected = Limited::new(body, CONTROL_BYTES_MAX).collect().await?;
    Ok(collected.to_bytes())
}

fn empty(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = status;
    response
}
