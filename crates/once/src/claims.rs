//! Claims of one shard, as stored in the platform's key-value service.

use std::collections::BTreeMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use wire::Vm;

use crate::operation::Id;

/// Number of shards over which operations are distributed.
pub const SHARDS: u8 = 64;

/// Lifetime of a claim, in seconds. A retry within it never runs the operation again.
pub const CLAIM_TTL_S: u64 = 2 * 3_600;

/// Largest assumed difference between two VMs' clocks, in seconds.
const CLOCK_MARGIN_S: u64 = 600;

/// Maximum number of claims in a shard, which keeps its record below the platform's largest value
/// size.
pub const MAX_CLAIMS: usize = 24_000;

/// Returns the shard of an operation.
#[must_use]
pub fn shard_of(id: &Id) -> u8 {
    id.0[0] % SHARDS
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The operation belongs to this VM, which may differ from the claimant.
    Owner(Vm),
    /// The shard has no capacity for further claims.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    /// Index into [`Claims::owners`].
    owner: u16,
    /// Unix time of the claim, in seconds.
    at_unix_s: u64,
}

/// Claims of one shard. A claimed operation keeps its owner until the claim expires.
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

    /// Claims `id` for `claimant` at `now_unix_s` unless another VM owns it. The owner's own claim
    /// is renewed.
    pub fn claim(&mut self, id: Id, claimant: &Vm, now_unix_s: u64) -> Outcome {
        if let Some(claim) = self.claims.get_mut(&id) {
            let owner = &self.owners[usize::from(claim.owner)];
            if owner == claimant {
                claim.at_unix_s = claim.at_unix_s.max(now_unix_s);
            }
            return Outcome::Owner(owner.clone());
        }
        let Some(owner) = self.owner_index(claimant) else {
            return Outcome::Full;
        };
        if self.claims.len() >= MAX_CLAIMS {
            return Outcome::Full;
        }
        let at_unix_s = now_unix_s;
        self.claims.insert(id, Claim { owner, at_unix_s });
        Outcome::Owner(claimant.clone())
    }

    /// Returns the owner of an operation, if any.
    #[must_use]
    pub fn owner(&self, id: &Id) -> Option<&Vm> {
        let claim = self.claims.get(id)?;
        self.owners.get(usize::from(claim.owner))
    }

    /// Removes the claims that have expired, allowing for the largest difference of clocks.
    pub fn prune(&mut self, now_unix_s: u64) {
        let retention_s = CLAIM_TTL_S + CLOCK_MARGIN_S;
        self.claims
            .retain(|_, claim| claim.at_unix_s.saturating_add(retention_s) > now_unix_s);
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
        let mut new_indices = vec![None; old.len()];
        for claim in self.claims.values_mut() {
            let old_index = usize::from(claim.owner);
            claim.owner = *new_indices[old_index].get_or_insert_with(|| {
                self.owners.push(old[old_index].clone());
                u16::try_from(self.owners.len() - 1).expect("the number of owners does not grow")
            });
        }
    }
}

/// Stored format of the record: compact, since the record is written often.
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
        let has_owner = |claim: &Claim| usize::from(claim.owner) < owners.len();
        if !rows.iter().all(|(_, claim)| has_owner(claim)) {
            return Err(custom("a claim refers to an unknown owner"));
        }
        let claims = rows.into_iter().collect();
        Ok(Self { owners, claims })
    }
}

fn custom<E: de::Error>(error: impl fmt::Display) -> E {
    E::custom(error)
}
