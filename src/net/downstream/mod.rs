//! The clients' side: listener, connections, requests and bodies on their way.

pub mod body;
pub mod server;
