package gladelug.tools;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Findings;
import io.swagger.v3.oas.models.OpenAPI;
import io.swagger.v3.oas.models.Operation;
import io.swagger.v3.oas.models.PathItem;
import io.swagger.v3.parser.OpenAPIV3Parser;
import io.swagger.v3.parser.core.models.ParseOptions;
import io.swagger.v3.parser.core.models.SwaggerParseResult;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Converts the operations of an OpenAPI document into routes of a configuration, which an operator
 * reviews and copies into a configuration. Whatever a route cannot express is reported as a finding
 * with its place in the document. External references are not fetched.
 */
final class OpenApiImport {
  private OpenApiImport() {}

  /**
   * Returns the configuration fragment {"mappings": [...]} with one route for each operation that
   * can be expressed.
   *
   * @param text the OpenAPI document, as JSON or YAML
   * @param service the model service that every route leads to
   * @param findings receives what was left out or ignored
   */
  static JsonObject convert(String text, String service, Findings findings) {
    ParseOptions options = new ParseOptions();
    options.setResolve(false);
    SwaggerParseResult parsed = new OpenAPIV3Parser().readContents(text, null, options);
    if (parsed.getMessages() != null)
      for (String message : parsed.getMessages()) findings.add("document", message);
    JsonArray routes = new JsonArray();
    OpenAPI api = parsed.getOpenAPI();
    if (api == null || api.getPaths() == null) {
      findings.add("document", "has no readable paths");
      return Json.object().add("mappings", routes);
    }
    Set<String> names = new HashSet<>();
    for (Map.Entry<String, PathItem> path : api.getPaths().entrySet())
      for (Map.Entry<PathItem.HttpMethod, Operation> operation :
          path.getValue().readOperationsMap().entrySet()) {
        JsonObject route =
            toRoute(
                path.getKey(), operation.getKey(), operation.getValue(), service, names, findings);
        if (route != null) routes.add(route);
      }
    return Json.object().add("mappings", routes);
  }

  /** Returns the route of an operation, or null if the operation cannot be a route. */
  private static JsonObject toRoute(
      String path,
      PathItem.HttpMethod method,
      Operation operation,
      String service,
      Set<String> names,
      Findings findings) {
    String place = "paths." + path + "." + method.name().toLowerCase(Locale.ROOT);
    if (method != PathItem.HttpMethod.POST) {
      findings.add(place, "is left out: requests are sent with POST only");
      return null;
    }
    if (path.contains("{")) {
      findings.add(place, "is left out: the path of a route cannot contain variables");
      return null;
    }
    String name =
        operation.getOperationId() == null
            ? path.replaceAll("[^A-Za-z0-9]+", "-").replaceAll("^-|-$", "")
            : operation.getOperationId();
    if (operation.getOperationId() == null)
      findings.add(place, "has no operationId; the route is named " + name + " after its path");
    if (name.isEmpty() || !names.add(name)) {
      findings.add(place, "is left out: the name '" + name + "' is empty or already used");
      return null;
    }
    if (operation.getParameters() != null && !operation.getParameters().isEmpty())
      findings.add(place + ".parameters", "are ignored: a request has only a body");
    if (operation.getSecurity() != null && !operation.getSecurity().isEmpty())
      findings.add(
          place + ".security", "is ignored: callers are authorized by the keys of tenants");
    JsonObject route = Json.object().add("name", name).add("path", path).add("service", service);
    Map<String, Object> extensions =
        operation.getExtensions() == null ? Map.of() : operation.getExtensions();
    if (extensions.get("x-expiry-ms") instanceof Number expiryMs)
      route.add("expiryMs", expiryMs.longValue());
    if (extensions.get("x-repeatable") instanceof Boolean repeatable)
      route.add("repeatable", repeatable);
    return route;
  }
}
