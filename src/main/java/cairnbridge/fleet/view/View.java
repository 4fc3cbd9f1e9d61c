package cairnbridge.fleet.view;

import cairnbridge.fleet.member.Claim;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.Standing;
import java.util.List;
import java.util.Optional;

/**
 * What one member holds of all, itself included, at one moment; never changed afterwards. whole is
 * a hash of it that is the same wherever the same is held. settledFor in tenths of a millisecond.
 */
public record View(MemberId self, List<Claim> members, long whole, ViewFigures figures) {
    public View {
        members = List.copyOf(members);
    }

    public Optional<Claim> of(MemberId id) {
        return members.stream().filter(each -> each.id().equals(id)).findFirst();
    }

    /** Those to be reckoned with, oneself among them unless it has taken its leave. */
    public List<Claim> living() {
        return members.stream().filter(each -> each.standing().isLiving()).toList();
    }

    public int count(Standing standing) {
        return (int) members.stream().filter(each -> each.standing() == standing).count();
    }
}
