package cairnbridge.proxy;

import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipView;

/** The recovery from a power loss, as the fleet sees it; called on the fleet's thread. */
interface RecoveryStatus {
    /** There is no recovery, and no list to pass on. */
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

    /** How far this proxy has recovered, with the epoch of the zone plan that it knows. */
    RecoveryProgress progress(long planEpoch);

    /** The fleet's membership view has changed. */
    void fleetChanged(MembershipView view);

    /** The endpoint list in discovery's own form; empty if it may not be passed on. */
    byte[] confirmedEndpointList();
}
