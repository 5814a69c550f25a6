//! Why a request is rejected before it is forwarded, and the response that says so.

use crate::net::downstream::response_body::ResponseBody;
use crate::net::downstream::upload::UploadError;
use crate::net::memory_budget::BudgetExceeded;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use thiserror::Error;

/// Why a request is rejected before it is forwarded. The texts are sent to the client.
#[derive(Debug, Error)]
pub enum RequestError {
    #[error("no such class")]
    UnknownClass,
    #[error("X-Correlation-Id is missing")]
    NoCorrelationId,
    #[error("the method or Idempotency-Key does not fit the class")]
    ClassMismatch,
    #[error("the target has no path")]
    NoPath,
    #[error(transparent)]
    Upload(#[from] UploadError),
    /// A client that closed only its sending side still receives this response.
    #[error("the client closed the connection")]
    ClientClosed,
    /// It is a long upload that waits for a backend while other clients cannot connect, or the memory budget does not
    /// allow to buffer its body.
    #[error("the proxy has no capacity")]
    NoCapacity,
    /// It completed so late in a shutdown that it could not be served before the process ends.
    #[error("the proxy is shutting down")]
    ShuttingDown,
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::Upload(UploadError::Slow) => StatusCode::REQUEST_TIMEOUT,
            RequestError::NoCapacity | RequestError::ShuttingDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Builds the response that reports the error to the client.
    pub fn response(&self) -> Response<ResponseBody> {
        plain_response(self.status(), format!("{self}\n"))
    }
}

impl From<BudgetExceeded> for RequestError {
    fn from(_: BudgetExceeded) -> RequestError {
        RequestError::NoCapacity
    }
}

/// Builds a response with a short text body.
pub fn plain_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(text.into()));
    *response.status_mut() = status;
    response
}
