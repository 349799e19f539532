//! The HTTP interface of the stand-in.

use std::sync::Arc;

use balsamfold::process::platform::wire;
use balsamfold::values::ZoneId;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::server::CutError;
use super::server::Shared;

/// Path at which faults are read and set.
const FAULTS_PATH: &str = "/v1/faults";

/// Path at which the counts of calls are read.
const STATUS_PATH: &str = "/v1/status";

/// Largest request body: a value encoded as JSON, including escapes.
const BODY_BYTES_MAX: usize = 4_000_000;

/// Accepts connections until the listener fails or the task is aborted.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, shared.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| handle(request, shared.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

async fn handle(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Full<Bytes>>, CutError> {
    let zone = request.headers().get(wire::ZONE_HEADER);
    let zone: Option<ZoneId> = zone.and_then(|zone| zone.to_str().ok()?.parse().ok());
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_BYTES_MAX).collect().await;
    let body = body.map_err(|_| CutError)?.to_bytes();
    match (&head.method, head.uri.path()) {
        (&Method::POST, wire::CALL_PATH) => match wire::decode(&body) {
            Ok(call) => Ok(json(&shared.call(call, zone.as_ref()).await?)),
            Err(error) => Ok(bad_request(error.to_string())),
        },
        (&Method::PUT, FAULTS_PATH) => match wire::decode(&body) {
            Ok(faults) => {
                shared.set_faults(faults);
                Ok(json(&()))
            }
            Err(error) => Ok(bad_request(error.to_string())),
        },
        (&Method::GET, FAULTS_PATH) => Ok(json(&shared.faults())),
        (&Method::GET, STATUS_PATH) => Ok(json(&shared.status())),
        _ => Ok(with_status(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

fn json(message: &impl Serialize) -> Response<Full<Bytes>> {
    with_status(StatusCode::OK, wire::encode(message).into())
}

fn bad_request(message: String) -> Response<Full<Bytes>> {
    with_status(StatusCode::BAD_REQUEST, message.into())
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
