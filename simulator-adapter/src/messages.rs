//! The messages of the simulator's wire, under its own names (WIRE page). Times are nanoseconds.

use host_support::bootstrap_config::BootstrapConfig;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

#[derive(Deserialize)]
pub enum In<'a> {
    #[serde(rename_all = "camelCase")]
    Frame {
        now_ns: i64,
        serial: u64,
    },
    Go {},
    #[serde(rename_all = "camelCase")]
    Start {
        front: u32,
        rng_seed: u64,
        boot_info: Box<BootstrapConfig>,
    },
    Detach {
        front: u32,
    },
    DefineList {
        page: usize,
        records: Vec<Record>,
    },
    Discovery {
        front: u32,
        how: How,
        #[serde(default)]
        page: usize,
    },
    #[serde(borrow)]
    Inbound(Inbound<'a>),
    #[serde(borrow)]
    Flowing(RequestRef<'a>),
    #[serde(borrow)]
    AttemptEnd(AttemptEnd<'a>),
    #[serde(borrow)]
    Gone(RequestRef<'a>),
    Fired {
        front: u32,
        nonce: u64,
    },
    #[serde(rename_all = "camelCase")]
    ProbeResult {
        front: u32,
        #[serde(borrow)]
        store: Cow<'a, str>,
        status: Status,
        #[serde(default)]
        wait_time_ns: i64,
        #[serde(default)]
        pressure: Option<Vec<Option<f64>>>,
    },
    Inbox {
        front: u32,
        src: u32,
        #[serde(borrow)]
        bytes: Cow<'a, str>,
    },
}

/// A request of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RequestRef<'a> {
    pub front: u32,
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Inbound<'a> {
    pub front: u32,
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
    #[serde(default)]
    pub db_no: i64,
    #[serde(default, borrow)]
    pub conn_key: Option<Cow<'a, str>>,
    pub drop_dead_ns: i64,
    #[serde(default, rename = "repeat")]
    pub is_retry: bool,
    #[serde(default)]
    pub profile: usize,
    #[serde(default)]
    pub last_write_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptEnd<'a> {
    pub front: u32,
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
    #[serde(default)]
    pub hop: u32,
    #[serde(default)]
    pub done_flag: bool,
    #[serde(borrow)]
    pub store: Cow<'a, str>,
    #[serde(default)]
    pub wait_time_ns: i64,
    pub status: Status,
    #[serde(default)]
    pub progress: i64,
    #[serde(default)]
    pub pressure: Option<Vec<Option<f64>>>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
pub enum How {
    Partial,
    Complete,
    Persisted,
    Error,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    Ok,
    Internal,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Aborted,
    Cancelled,
    TooLate,
    NotFound,
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
    #[serde(default)]
    pub set: i64,
    #[serde(default)]
    pub is_primary: f64,
    pub store: String,
    #[serde(default)]
    pub launched_ns: i64,
    pub availability: Availability,
    #[serde(default)]
    pub failure_domain: usize,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Availability {
    Healthy,
    Cordoned,
    Deregistered,
}

#[derive(Serialize)]
#[allow(clippy::enum_variant_names)] // The wire's names.
#[serde(rename_all_fields = "camelCase")]
pub enum Out<'a> {
    Forward {
        front: u32,
        request_id: &'a str,
        store: &'a str,
        limit_ns: i64,
    },
    Shed {
        front: u32,
        request_id: &'a str,
        #[serde(rename = "comeBackNs")]
        retry_after_ns: i64,
    },
    RespondError {
        front: u32,
        request_id: &'a str,
    },
    Withdraw {
        front: u32,
        request_id: &'a str,
        hop: u32,
    },
    Remind {
        front: u32,
        nonce: u64,
        time_ns: i64,
    },
    #[serde(rename = "SoundOut")]
    HealthCheck {
        front: u32,
        store: &'a str,
    },
    Watch {
        front: u32,
        enable: bool,
    },
    ListAll {
        front: u32,
    },
    Remark {
        front: u32,
        message: &'a str,
    },
    Yield {
        serial: u64,
    },
}

/// Appends a message as one line.
pub fn append(replies: &mut Vec<u8>, message: &Out) {
    serde_json::to_writer(&mut *replies, message).expect("plain values always serialise");
    replies.push(b'\n');
}
