package cairnbridge.proxy;

/** Is notified when the file descriptor budget is used up; called on the reactor thread. */
interface DescriptorBudgetListener {
    /** The budget is used up: an idle connection to a server should be closed. */
    void descriptorBudgetExceeded();
}
