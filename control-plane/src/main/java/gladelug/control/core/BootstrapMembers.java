package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.List;

/**
 * The members that bootstrap a fleet. The first generation begins only once all of them have
 * exchanged announcements.
 *
 * @param members the members ordered by name, one to nine
 */
public record BootstrapMembers(List<MemberSet.Member> members) {}
