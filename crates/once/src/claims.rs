//! Claims of one shard, as they stand in the platform's service.

use std::collections::BTreeMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use wire::Vm;

use crate::operation::Id;

/// Shards over which operations are spread.
pub const SHARDS: u8 = 64;

/// Time that a claim stands, in seconds. A resend within it never runs twice.
pub const CLAIM_TTL_S: u64 = 2 * 3_600;

/// Largest difference between two VMs' clocks, in seconds.
const CLOCK_MARGIN_S: u64 = 600;

/// Most claims in a shard, so that its record stays below the platform's largest value.
pub const MAX_CLAIMS: usize = 24_000;

/// Returns the shard of an operation.
#[must_use]
pub fn shard_of(id: &Id) -> u8 {
    id.0[0] % SHARDS
}

/// What came of asking for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The operation belongs to this VM, which may or may not be the one that asked.
    Owner(Vm),
    /// The shard has no room for further claims.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    /// Index into the owners.
    owner: u16,
    /// Unix time of the claim, in seconds.
    at_unix_s: u64,
}

/// Claims of one shard. An operation that is claimed keeps its owner until the claim expires.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Claims {
    owners: Vec<Vm>,
    claims: BTreeMap<Id, Claim>,
}

impl Claims {
    /// Creates a shard without claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Claims `id` for `asker` at `now_unix_s` unless another owns it. The owner's own claim is
    /// renewed.
    pub fn claim(&mut self, id: Id, asker: &Vm, now_unix_s: u64) -> Outcome {
        if let Some(claim) = self.claims.get_mut(&id) {
            let owner = &self.owners[usize::from(claim.owner)];
            if owner == asker {
                claim.at_unix_s = claim.at_unix_s.max(now_unix_s);
            }
            return Outcome::Owner(owner.clone());
        }
        let Some(owner) = self.owner_index(asker) else {
            return Outcome::Full;
        };
        if self.claims.len() >= MAX_CLAIMS {
            return Outcome::Full;
        }
        let at_unix_s = now_unix_s;
        self.claims.insert(id, Claim { owner, at_unix_s });
        Outcome::Owner(asker.clone())
    }

    /// Returns the owner of an operation, if it has one.
    #[must_use]
    pub fn owner(&self, id: &Id) -> Option<&Vm> {
        let claim = self.claims.get(id)?;
        self.owners.get(usize::from(claim.owner))
    }

    /// Removes the claims that have expired whatever the writer's clock said.
    pub fn prune(&mut self, now_unix_s: u64) {
        let kept_s = CLAIM_TTL_S + CLOCK_MARGIN_S;
        self.claims
            .retain(|_, claim| claim.at_unix_s.saturating_add(kept_s) > now_unix_s);
        self.drop_unused_owners();
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn owner_index(&mut self, vm: &Vm) -> Option<u16> {
        if let Some(index) = self.owners.iter().position(|owner| owner == vm) {
            return u16::try_from(index).ok();
        }
        let index = u16::try_from(self.owners.len()).ok()?;
        self.owners.push(vm.clone());
        Some(index)
    }

    fn drop_unused_owners(&mut self) {
        let old = std::mem::take(&mut self.owners);
        let mut moved = vec![None; old.len()];
        for claim in self.claims.values_mut() {
            let from = usize::from(claim.owner);
            claim.owner = *moved[from].get_or_insert_with(|| {
                self.owners.push(old[from].clone());
                u16::try_from(self.owners.len() - 1).expect("there were no more owners before")
            });
        }
    }
}

/// The record's shape: packed, since it is written often.
#[derive(Serialize, Deserialize)]
struct Packed {
    owners: Vec<Vm>,
    claims: String,
}

impl Serialize for Claims {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let rows: Vec<(&Id, &Claim)> = self.claims.iter().collect();
        let bytes = postcard::to_stdvec(&rows).map_err(serde::ser::Error::custom)?;
        let claims = STANDARD_NO_PAD.encode(bytes);
        let owners = self.owners.clone();
        Packed { owners, claims }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Claims {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let packed = Packed::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(packed.claims).map_err(custom)?;
        let rows: Vec<(Id, Claim)> = postcard::from_bytes(&bytes).map_err(custom)?;
        let owners = packed.owners;
        let known = |claim: &Claim| usize::from(claim.owner) < owners.len();
        if !rows.iter().all(|(_, claim)| known(claim)) {
            return Err(custom("a claim names no owner"));
        }
        let claims = rows.into_iter().collect();
        Ok(Self { owners, claims })
    }
}

fn custom<E: de::Error>(error: impl fmt::Display) -> E {
    E::custom(error)
}
