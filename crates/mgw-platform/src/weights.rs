//! The weight store.

use std::future::Future;

use mgw_report::report::Weight;
use smol_str::SmolStr;

use crate::transport::{Endpoint, Error, Options};

/// The weight store; engines fetch weights themselves.
pub trait Service {
    /// How many loads run and wait.
    fn status(&self) -> impl Future<Output = Result<Weight, Error>>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client(Endpoint);

impl Client {
    /// An adapter for the weight store at `address`.
    pub fn new<A>(address: A, options: Options) -> Self
    where
        A: Into<SmolStr>,
    {
        Self(Endpoint::new(address, options))
    }
}

impl Service for Client {
    async fn status(&self) -> Result<Weight, Error> {
        self.0.get_json("read the weight store's load", "/weights").await
    }
}
