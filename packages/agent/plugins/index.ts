import './execution.js';
import './run-request.js';
import './announce.js';
