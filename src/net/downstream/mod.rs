//! The clients' side.
//!
//! - [`server`]: accepts connections within the process's limits, serves their requests, and shuts down gracefully.
//! - [`upload`]: a client's body as it arrives.
//! - [`response_stream`]: a streamed response on its way to the client.

pub mod response_stream;
pub mod server;
pub mod upload;
