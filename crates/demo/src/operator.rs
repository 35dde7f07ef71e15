//! What an operator does, through the platform's service.

use eyre::{WrapErr, bail};
use key::{Hasher, Token};
use rand::Rng as _;
use store::{CONFIG_KEY, Client, ConfigRecord, KeysRecord, Written, keys_key};
use wire::Secret;
use wire::keyring::{Hash, Record};

/// Most tries of a write that others race with.
const MAX_TRIES: usize = 5;

/// An operator of a fleet.
#[derive(Debug, Clone)]
pub struct Operator {
    client: Client,
    hasher: Hasher,
}

impl Operator {
    /// Creates an operator who reaches the platform at `base`.
    #[must_use]
    pub fn new(base: &str, secret: &Secret) -> Self {
        Self {
            client: Client::new(base),
            hasher: Hasher::new(secret),
        }
    }

    /// Checks and applies a text and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails if the text is wrong or the platform does not take it.
    pub async fn apply(&self, source: &str) -> eyre::Result<u64> {
        if let Err(problems) = text::parse(source) {
            let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
            bail!("the text has problems: {}", problems.join("; "));
        }
        let source = source.to_owned();
        self.blocking(move |operator| operator.write_text(source))
            .await
    }

    /// Gives a workspace a new key.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take the record.
    pub async fn give(&self, workspace: &str) -> eyre::Result<Token> {
        let token = Token::new(&rand::rng().random());
        let record = Record {
            id: format!("{:08x}", rand::rng().random::<u32>()),
            workspace: workspace.to_owned(),
            hash: self.hasher.hash(token.reveal().as_bytes()),
            withdrawn: false,
        };
        self.blocking(move |operator| {
            operator.change_keys(&record.hash, |keys| keys.push(record.clone()))
        })
        .await?;
        Ok(token)
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take the change.
    pub async fn withdraw(&self, token: &Token) -> eyre::Result<()> {
        let hash = self.hasher.hash(token.reveal().as_bytes());
        let withdraw = move |records: &mut Vec<Record>| {
            for record in records.iter_mut().filter(|record| record.hash == hash) {
                record.withdrawn = true;
            }
        };
        self.blocking(move |operator| operator.change_keys(&hash, withdraw))
            .await
    }

    fn write_text(&self, text: String) -> eyre::Result<u64> {
        let current = self.client.read::<ConfigRecord>(CONFIG_KEY)?;
        let revision = current.value.map_or(0, |record| record.revision) + 1;
        let record = ConfigRecord {
            revision,
            write_id: format!("{:016x}", rand::rng().random::<u64>()),
            author: "demo".to_owned(),
            at_unix_ms: 0,
            text,
        };
        match self
            .client
            .compare_and_set(CONFIG_KEY, current.version, &record)?
        {
            Written::Done => Ok(revision),
            Written::Conflict => bail!("another operator applied a text at the same time"),
        }
    }

    fn change_keys(&self, hash: &Hash, change: impl Fn(&mut Vec<Record>)) -> eyre::Result<()> {
        let shard = keys_key(hash);
        for _ in 0..MAX_TRIES {
            let current = self.client.read::<KeysRecord>(&shard)?;
            let mut keys = current.value.unwrap_or_default();
            change(&mut keys.records);
            let written = self
                .client
                .compare_and_set(&shard, current.version, &keys)?;
            if written == Written::Done {
                return Ok(());
            }
        }
        bail!("others kept changing the keys")
    }

    async fn blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce(Self) -> eyre::Result<T> + Send + 'static,
    ) -> eyre::Result<T> {
        let operator = self.clone();
        let done = tokio::task::spawn_blocking(move || work(operator)).await;
        done.wrap_err("the operator's thread failed")?
    }
}
