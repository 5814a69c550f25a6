//! Numeric identifiers, one type per kind of object. The host assigns the numbers to the names that are used on the
//! wire and in the settings.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client request. Ids are never reused.
    RequestId(u64);
    /// A backend address, as numbered by this process. The number stays the same when the backend restarts.
    BackendId(u32);
    /// An availability zone.
    ZoneId(u32);
    /// A group of neighboring zones.
    RegionId(u32);
    /// A cell: a small group of backends that share their record of idempotency keys.
    CellId(u64);
    /// Another proxy of the fleet.
    PeerId(u32);
    /// A hardware class. Backends of the same class are assumed to be equally fast.
    HardwareClassId(u32);
    /// Index into [`Config::classes`](crate::Config::classes).
    ClassId(usize);
    /// Index into [`Config::tenants`](crate::Config::tenants).
    TenantId(usize);
    /// The number of an attempt within its request, counted from 0 in order of dispatch.
    AttemptNumber(u32);
    /// Identifies a timer that the balancer has set.
    TimerToken(u64);
}
