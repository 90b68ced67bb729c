/*
 * The control state as this process holds it: one immutable snapshot, swapped whole. Numbers only
 * rise. A number of 0 means nothing was ever told.
 */
package gladelug.data.news;

import gladelug.kernel.policy.CoreList;
import gladelug.kernel.policy.Policy;
import gladelug.kernel.policy.Replicas;
import gladelug.kernel.policy.Weights;

public record Tables(long policyNumber, String policyDigest, Policy policy, long weightsNumber, Weights weights,
    long replicasNumber, Replicas replicas, long generation, CoreList core) {
    public static final Tables NONE = new Tables(0, "", Policy.EMPTY, 0, Weights.NONE, 0, Replicas.NONE, 0,
        CoreList.NONE);

    Tables policy(long n, String digest, Policy p) {
        return new Tables(n, digest, p, weightsNumber, weights, replicasNumber, replicas, generation, core);
    }

    Tables weights(long n, Weights w) {
        return new Tables(policyNumber, policyDigest, policy, n, w, replicasNumber, replicas, generation, core);
    }

    Tables replicas(long n, Replicas r) {
        return new Tables(policyNumber, policyDigest, policy, weightsNumber, weights, n, r, generation, core);
    }

    Tables core(long g, CoreList c) {
        return new Tables(policyNumber, policyDigest, policy, weightsNumber, weights, replicasNumber, replicas, g, c);
    }

    public boolean complete() {
        return policyNumber > 0 && replicasNumber > 0;
    }
}
