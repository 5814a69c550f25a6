//! Identifiers, each of its own type: numbers that the host assigns to what has a name on the wire or in the settings.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client request; never used again.
    RequestId(u64);
    /// This process's number for one backend address; survives the backend's restart.
    BackendId(u32);
    /// An availability zone.
    ZoneId(u32);
    /// A group of zones close to each other.
    RegionId(u32);
    /// A few backends that share their record of idempotency keys.
    CellId(u64);
    /// Another proxy of the fleet.
    PeerId(u32);
    /// A hardware class: backends of one kind are taken as equally fast.
    HardwareClassId(u32);
    /// Index into [`Config::classes`](crate::Config::classes).
    ClassId(usize);
    /// Index into [`Config::tenants`](crate::Config::tenants).
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNumber(u32);
    /// Names a timer to its owner.
    TimerToken(u64);
}
