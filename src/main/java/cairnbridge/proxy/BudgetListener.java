package cairnbridge.proxy;

/** Hears of a spent descriptor budget; called on the reactor's thread. */
interface BudgetListener {
    /** The budget is spent: an idle connection to a server is to make way. */
    void descriptorBudgetExceeded();
}
