package cairnbridge.proxy;

import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipView;

/** The fleet's interface to the recovery from a power loss; called on the fleet's thread. */
interface RecoveryStatus {
    /** Used where there is no recovery: there is no list to pass on to other members. */
    RecoveryStatus NONE =
            new RecoveryStatus() {
                @Override
                public RecoveryProgress progress(long planEpoch) {
                    return RecoveryProgress.NONE;
                }

                @Override
                public void fleetChanged(MembershipView view) {
                    // There is no recovery.
                }

                @Override
                public byte[] confirmedEndpointList() {
                    return new byte[0];
                }
            };

    /**
     * How far this proxy has recovered.
     *
     * @param planEpoch the epoch of the latest zone plan that the proxy knows
     */
    RecoveryProgress progress(long planEpoch);

    /** The fleet's membership view has changed. */
    void fleetChanged(MembershipView view);

    /** The endpoint list as discovery's JSON; empty unless it may be passed to other members. */
    byte[] confirmedEndpointList();
}
