//! A stand-in for the store that keeps cache blocks which engines had to drop.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, State as Shares},
    routing::post,
};
use http::StatusCode;
use samphirespread_core::prelude::*;
use samphirespread_engine::api::BlockTransfer;

use crate::{
    engine::cache::{BlockCache, BlockName, BlockOrigin},
    server::Server,
};

/// How the store behaves.
#[derive(Clone, Copy, Debug)]
pub struct KeptCacheConfig {
    capacity_blocks: usize,
    transfer_us_per_block: u64,
}

impl Default for KeptCacheConfig {
    fn default() -> Self {
        Self { capacity_blocks: 65_536, transfer_us_per_block: 2_000 }
    }
}

impl KeptCacheConfig {
    /// A large store that is slower than another engine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Blocks that the store holds.
    #[must_use]
    pub fn capacity_blocks(mut self, blocks: usize) -> Self {
        self.capacity_blocks = blocks;
        self
    }

    /// Time to take or give one block.
    #[must_use]
    pub fn transfer_us_per_block(mut self, us: u64) -> Self {
        self.transfer_us_per_block = us;
        self
    }
}

/// A running stand-in of the kept-cache store. It ends when dropped.
///
/// It takes the same `POST /v1/blocks/export` and `POST /v1/blocks/import` as an engine, for any
/// weights version: blocks are kept by version and salt.
#[derive(Debug)]
pub struct KeptCache {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    blocks: Mutex<BlockCache>,
    transfer_us_per_block: u64,
}

impl KeptCache {
    /// Starts on a port of its own.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    #[expect(clippy::unused_async, reason = "the server's task needs a runtime around it")]
    pub async fn start(config: KeptCacheConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            blocks: Mutex::new(BlockCache::new(config.capacity_blocks)),
            transfer_us_per_block: config.transfer_us_per_block,
        });
        let router = Router::new()
            .route("/v1/blocks/export", post(export))
            .route("/v1/blocks/import", post(import))
            .layer(DefaultBodyLimit::disable())
            .with_state(Arc::clone(&shared));
        Ok(Self { server: Server::start(router)?, shared })
    }

    /// Where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Blocks that the store holds now.
    pub fn kept_blocks(&self) -> usize {
        self.shared.lock().len()
    }

    /// While frozen, connections are taken and stay open without a byte moving.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.set_frozen(frozen);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BlockCache> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn transfer_time(&self, blocks: usize) {
        let us = self.transfer_us_per_block * blocks as u64;
        tokio::time::sleep(Duration::from_micros(us)).await;
    }
}

async fn export(
    Shares(shared): Shares<Arc<Shared>>,
    Json(wanted): Json<BlockTransfer>,
) -> Json<BlockTransfer> {
    let salt = kept_salt(&wanted);
    let keys: Vec<BlockKey> = {
        let blocks = shared.lock();
        let kept =
            |key: &BlockKey| blocks.contains(&BlockName { salt: Arc::clone(&salt), key: *key });
        wanted.keys.iter().copied().take_while(kept).collect()
    };
    shared.transfer_time(keys.len()).await;
    Json(BlockTransfer { keys, ..wanted })
}

async fn import(
    Shares(shared): Shares<Arc<Shared>>,
    Json(given): Json<BlockTransfer>,
) -> StatusCode {
    shared.transfer_time(given.keys.len()).await;
    let salt = kept_salt(&given);
    let mut blocks = shared.lock();
    // The first block goes in last, so that a prefix loses its end before its beginning.
    for key in given.keys.into_iter().rev() {
        let origin = BlockOrigin {
            stream: None,
            salt: Arc::clone(&salt),
            version: given.version.clone(),
            text_hash: None,
        };
        blocks.insert(BlockName { salt: Arc::clone(&salt), key }, origin);
    }
    StatusCode::NO_CONTENT
}

/// The salt with the version, which an engine checks by itself.
fn kept_salt(blocks: &BlockTransfer) -> Arc<str> {
    Arc::from(format!("{} {}", blocks.version, blocks.cache_salt))
}
