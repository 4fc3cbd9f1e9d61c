package cairnbridge.scale.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** What the measuring process asks of one that holds hollow proxies; one JSON line each. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HollowCommand.Configure.class, name = "configure"),
    @JsonSubTypes.Type(value = HollowCommand.StartMembers.class, name = "start-members"),
    @JsonSubTypes.Type(value = HollowCommand.ChangeFigures.class, name = "change-figures"),
    @JsonSubTypes.Type(value = HollowCommand.WatchChange.class, name = "watch-change"),
    @JsonSubTypes.Type(value = HollowCommand.MakeChange.class, name = "make-change"),
    @JsonSubTypes.Type(value = HollowCommand.AskKnowledge.class, name = "ask-knowledge"),
    @JsonSubTypes.Type(value = HollowCommand.AskAgreement.class, name = "ask-agreement"),
    @JsonSubTypes.Type(value = HollowCommand.AskUsage.class, name = "ask-usage")
})
sealed interface HollowCommand {
    /** Comes first, once. */
    record Configure(HollowSettings settings) implements HollowCommand {}

    /** Starts members in their first life; seeds as ADDRESS:PORT. */
    record StartMembers(List<Integer> numbers, List<String> seeds) implements HollowCommand {}

    /** From now on members tell new figures all the time. */
    record ChangeFigures() implements HollowCommand {}

    /** From now on each member's view is looked at for a change that is made next. */
    record WatchChange(int subject, ChangeKind kind, long life) implements HollowCommand {}

    /** Does something to a member of this process; life and seeds count for a START. */
    record MakeChange(int subject, ChangeKind kind, long life, List<String> seeds)
            implements HollowCommand {}

    /** Asks who knows of the change that is watched. */
    record AskKnowledge() implements HollowCommand {}

    /** Asks how many members hold exactly this many alive. */
    record AskAgreement(int alive) implements HollowCommand {}

    /** Asks what the process has used so far. */
    record AskUsage(boolean collectGarbage) implements HollowCommand {}
}
