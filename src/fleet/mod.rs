//! What the proxies of a fleet decide together: state machines without clock, sockets or threads. Time and messages
//! go in, messages and changes come out. None of them picks a backend for a request.

pub mod calendar;
pub mod config;
pub mod fencing;
pub mod lease;
pub mod membership;
pub mod message_age;
pub mod relay;
