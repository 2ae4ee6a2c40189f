//! Queries which generation of the configuration each instance has in force.

use std::net::SocketAddr;

use displaydoc::Display;
use samphirespread_core::prelude::*;
use samphirespread_platform::{
    Platform, PlatformError,
    api::{LiveInstance, LiveState, Role},
};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::http::{self, AdminError};

/// Maximum number of instances that are queried at the same time.
const MAX_PARALLEL_CALLS: usize = 64;

/// The state of one instance and the generation that it has in force.
#[derive(Debug)]
pub struct InstanceStatus {
    /// The instance's name.
    pub name: InstanceName,
    /// Whether the instance is a router or an agent.
    pub role: Role,
    /// Whether the instance is live or leaving.
    pub state: LiveState,
    /// The generation in force.
    pub generation: Result<Generation, StatusError>,
}

/// Reason why the generation of an instance isn't known.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum StatusError {
    /// the live list names no admin port; give --admin-port
    NoAdminPort,
    /// {0}
    Admin(AdminError),
    /// its dump has no generation
    NoGeneration,
}

impl std::error::Error for StatusError {}

/// How many instances have a generation in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// Instances that have this generation or a later one.
    pub in_force: usize,
    /// Instances in the live list.
    pub total: usize,
}

/// Queries all instances of the live list and returns their states, sorted by name.
///
/// # Errors
///
/// Returns an error if the live list can't be read from the platform.
pub async fn instances<P: Platform>(
    platform: &P,
    admin_port: Option<u16>,
    timeout_ms: u64,
) -> Result<Vec<InstanceStatus>, PlatformError> {
    let list = platform.instances(None).await?.unwrap_or_default();
    let mut remaining = list.instances.into_iter();
    let mut calls = JoinSet::new();
    let mut statuses = Vec::new();
    loop {
        while calls.len() < MAX_PARALLEL_CALLS {
            let Some(instance) = remaining.next() else { break };
            calls.spawn(query_instance(instance, admin_port, timeout_ms));
        }
        let Some(status) = calls.join_next().await else { break };
        statuses.extend(status);
    }
    statuses.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(statuses)
}

/// Counts the instances that have at least this generation in force.
pub fn count(statuses: &[InstanceStatus], generation: Generation) -> Count {
    let has = |status: &&InstanceStatus| {
        status.generation.as_ref().is_ok_and(|in_force| *in_force >= generation)
    };
    Count { in_force: statuses.iter().filter(has).count(), total: statuses.len() }
}

async fn query_instance(
    instance: LiveInstance,
    admin_port: Option<u16>,
    timeout_ms: u64,
) -> InstanceStatus {
    let generation = match admin_address(&instance, admin_port) {
        Some(admin) => generation(admin, timeout_ms).await,
        None => Err(StatusError::NoAdminPort),
    };
    InstanceStatus { name: instance.name, role: instance.role, state: instance.state, generation }
}

fn admin_address(instance: &LiveInstance, admin_port: Option<u16>) -> Option<SocketAddr> {
    if let Some(admin) = &instance.admin {
        return admin.parse().ok();
    }
    let mut address: SocketAddr = instance.address.parse().ok()?;
    address.set_port(admin_port?);
    Some(address)
}

async fn generation(admin: SocketAddr, timeout_ms: u64) -> Result<Generation, StatusError> {
    let dump = http::dump(admin, timeout_ms).await.map_err(StatusError::Admin)?;
    let pointers = ["/generation", "/config/generation"];
    let found = pointers.iter().find_map(|pointer| dump.pointer(pointer).and_then(Value::as_u64));
    found.map(Generation).ok_or(StatusError::NoGeneration)
}
